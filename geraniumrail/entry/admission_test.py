"""Guards turns: none is lost with its caller, and a full version does not hold up the others."""

import asyncio
import types
import unittest

from geraniumrail.core.manual_clock import ManualClock, settle
from geraniumrail.entry.admission import Admission
from geraniumrail.errors.backend import NoBackendError
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.queue_item import QueueItem

LIMIT_S = 60


def item(name, organisation='a', **changes):
    fields = {'item_id': name, 'organisation': organisation, 'traffic_class': 'chat', 'tokens': 10}
    return QueueItem(**{**fields, **changes})


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.window = EngineWindow(initial=1)
        self.admission = Admission('model-bench', self.window, ManualClock(), lambda: ['e1', 'e2'])

    def turn(self, wanted, engine='e1'):
        def choose(window):
            if not window.allows(engine, wanted.traffic_class):
                raise NoBackendError(service='model-bench')
            return types.SimpleNamespace(backend=types.SimpleNamespace(instance=engine))

        return asyncio.create_task(self.admission.turn(wanted, choose, LIMIT_S))

    async def test_turn_granted_to_a_caller_that_left_is_given_back(self):
        first = self.turn(item('first'))
        await first
        second = self.turn(item('second'))
        await settle()
        self.admission.release(item('first'), 'e1', 10)  # grants the second
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        self.assertTrue(second.cancelled())
        self.assertEqual(self.window.in_flight('e1'), 0)

    async def test_cancelled_wait_does_not_break_the_next_grant(self):
        await self.turn(item('first'))
        second, third = self.turn(item('second')), self.turn(item('third'))
        await settle()
        second.cancel()
        self.admission.release(item('first'), 'e1', 10)  # before the task of the second has run
        await third
        self.assertEqual(self.admission.queue.depth(), 0)

    async def test_full_engines_of_one_version_do_not_hold_up_another(self):
        await self.turn(item('first'))
        waiting = self.turn(item('second'))
        await settle()
        await self.turn(item('third', 'b'), engine='e2')
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_resumed_request_goes_first_and_is_never_refused(self):
        await self.turn(item('first'))
        new = [self.turn(item(f'new-{name}', name)) for name in 'abc']
        await settle()
        resumed = self.turn(item('resumed', 'a', queue_limit=0, resumed=True))
        await settle()
        self.admission.release(item('first'), 'e1', 10)
        await resumed
        self.assertFalse(any(task.done() for task in new))
        for task in new:
            task.cancel()


if __name__ == '__main__':
    unittest.main()
