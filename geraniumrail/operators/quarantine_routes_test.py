"""Guards the only way by which a quarantine without trials ends when its cause was mended."""

import json
import types
import unittest
from unittest import mock

from geraniumrail.core import codec
from geraniumrail.errors.state import UnknownQuarantineError
from geraniumrail.operators import quarantine_routes
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.state.machine import Machine
from geraniumrail.state.set_quarantines import SetQuarantines

HELD = Quarantine(service='llm', parts=('deadly',), since=50, until=1000, failures=4)


class QuarantineRoutesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.machine = Machine()
        self.routes = quarantine_routes.QuarantineRoutes(
            types.SimpleNamespace(
                replica=types.SimpleNamespace(read_barrier=mock.AsyncMock()),
                proposer=types.SimpleNamespace(propose=self.propose),
                machine=self.machine,
                wall=lambda: 100.0,
            )
        )

    async def propose(self, command):
        answer = codec.decode(self.machine.apply(self.machine.applied + 1, codec.encode(command)))
        if hasattr(answer, 'type_name'):
            raise UnknownQuarantineError(label=command.label)
        return answer

    async def ask(self, handler, **body):
        async def read(request, limit):
            return json.dumps(body).encode()

        with (
            mock.patch.object(quarantine_routes, 'operator_of', return_value='operator-1'),
            mock.patch.object(quarantine_routes, 'read_body', read),
        ):
            response = await handler(types.SimpleNamespace())
        return json.loads(response.body)

    async def test_listed_quarantine_can_be_released(self):
        await self.propose(SetQuarantines(added=(HELD,)))
        listed = (await self.ask(self.routes.list_quarantines))['quarantines']
        self.assertEqual([each['failed_trials'] for each in listed], [3])
        self.assertIsNone(listed[0]['next_trial'])
        name = listed[0]['quarantine']
        for _ in range(2):  # the client sends again what was not answered
            released = await self.ask(self.routes.release, release_id='r1', quarantine=name)
            self.assertEqual(released['quarantine'], name)
        self.assertEqual((await self.ask(self.routes.list_quarantines))['quarantines'], [])

    async def test_snapshot_keeps_releases(self):
        """After a restart the crashes before the release would start the quarantine again."""
        await self.propose(SetQuarantines(added=(HELD,)))
        await self.ask(self.routes.release, release_id='r1', quarantine=HELD.label)
        restored = Machine()
        restored.restore(self.machine.snapshot())
        self.machine = restored
        await self.propose(SetQuarantines(added=(HELD,)))
        self.assertEqual(restored.tables.quarantines_by_label, {})


if __name__ == '__main__':
    unittest.main()
