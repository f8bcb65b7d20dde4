"""Guards the operators' evacuations: an answer means that the change is in the log."""

import json
import types
import unittest
from unittest import mock

from geraniumrail.control.evacuations import Evacuations
from geraniumrail.core import codec
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.operators import cluster_routes
from geraniumrail.state.machine import Machine


class EvacuationRoutesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.machine = Machine()
        replica = types.SimpleNamespace(read_barrier=mock.AsyncMock())
        self.leadership = mock.Mock()
        control = types.SimpleNamespace(
            now=lambda: 0,
            leadership=self.leadership,
            evacuations=Evacuations(self.machine, replica, self, lambda: 100.0),
        )
        self.routes = cluster_routes.ClusterRoutes(control)
        self.is_closing = False

    async def propose(self, command):
        """Takes the place of the log."""
        return codec.decode(self.machine.apply(1, codec.encode(command)))

    async def ask(self, route, body=None):
        transport = types.SimpleNamespace(is_closing=lambda: self.is_closing)
        request = types.SimpleNamespace(transport=transport)
        read = mock.AsyncMock(return_value=json.dumps(body).encode())
        with (
            mock.patch.object(cluster_routes, 'operator_of', return_value='operator-1'),
            mock.patch.object(cluster_routes, 'read_body', read),
        ):
            response = await route(request)
        return json.loads(response.body)

    async def test_start_list_and_finish(self):
        for evacuated, listed in ((True, ['cheras']), (True, ['cheras']), (False, [])):
            body = {'data_centre': 'cheras', 'evacuated': evacuated}
            self.assertEqual(await self.ask(self.routes.set_evacuation, body), body)
            found = (await self.ask(self.routes.evacuations))['evacuations']
            self.assertEqual([each['data_centre'] for each in found], listed)
        self.assertEqual(self.machine.tables.last_evacuation_change, 2)

    async def test_member_that_does_not_lead_sends_the_operator_on(self):
        """A member showed, or changed, what it had in memory."""
        self.leadership.require_term.side_effect = NotLeaderError(leader=None)
        with self.assertRaises(NotLeaderError):
            await self.ask(self.routes.evacuations)
        body = {'data_centre': 'cheras', 'evacuated': True}
        with self.assertRaises(NotLeaderError):
            await self.ask(self.routes.set_evacuation, body)
        self.assertEqual(self.machine.tables.evacuations_by_data_centre, {})


if __name__ == '__main__':
    unittest.main()
