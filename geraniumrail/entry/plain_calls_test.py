"""Guards repeatable calls of plain services: what they may end, and what their callers are told."""

import asyncio
import dataclasses
import logging
import random
import unittest

from geraniumrail.core.backend import Backend
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.entry.plain_call import PlainCall
from geraniumrail.entry.plain_calls import PlainCalls, PlainParts
from geraniumrail.errors.backend import ConnectionLostError
from geraniumrail.errors.request import IncompleteAnswerError, NotRunError
from geraniumrail.fairness.limits import Limits
from geraniumrail.fairness.retry_budget import RetryBudget, RetryLimit
from geraniumrail.links.messages import ControlUpdate
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.routing.backend_tracker import BackendTracker

SERVICE = 'repair-desk'
SERVERS = 6
LEASE_S = 3600  # longer than a test; without one nothing is sent again
MOST_SERVERS = 2  # that one call may end
CALL = PlainCall(
    request_id='r1',
    organisation='salon-a',
    service=SERVICE,
    method='GET',
    path='/jobs/1',
    route='jobs',
)


class NoWaitClock(ManualClock):
    """Sleeping takes no time of the test."""

    async def sleep(self, seconds):
        self._now += seconds


class PlainCallsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.sent = []

    async def send(self, backend, call):
        """Takes the place of the client: the server ends."""
        self.sent.append(backend.instance)
        raise ConnectionLostError(backend=backend.instance, reason='reset')

    async def call(self, servers, *, ended=True, quarantines=(), call=CALL, lease_s=LEASE_S):
        """Sends one call to servers that end on it."""
        clock = NoWaitClock()
        view = ClusterView(clock, BackendTracker())
        view.take(ControlUpdate(term=1, answers=1, lease_s=lease_s, revision=0), clock.now())
        view.observe(
            Backend(
                instance=f's-{number}',
                service=SERVICE,
                address='127.0.0.1:1',
                data_centre='',
                region='',
                version='v1',
                lease_s=600,
            )
            for number in range(servers)
        )
        retries = RetryBudget(RetryLimit(), lambda: 1)
        for _ in range(SERVERS * 2):
            retries.record_request(SERVICE, 1, clock.now())

        async def refuses_connections(backend):
            return ended

        self.watch = PartWatch(clock, refuses_connections)
        self.watch.take(quarantines, None, ())

        parts = PlainParts(
            view=view,
            outcomes=Outcomes(view, clock),
            limits=Limits(),
            retries=retries,
            client=self,
            watch=self.watch,
            clock=clock,
            rng=random.Random(1),
        )
        await PlainCalls(parts, None, '', '').call(call)

    async def test_call_does_not_end_one_server_after_the_other(self):
        """A call whose server was lost was sent to the next one, and then to all of them again."""
        with self.assertRaises(IncompleteAnswerError):
            await self.call(SERVERS)
        self.assertEqual(len(self.sent), MOST_SERVERS)

    async def test_entry_that_lost_control_does_not_repeat_a_call(self):
        """It repeated calls in a data centre that had been evacuated meanwhile."""
        with self.assertRaises(IncompleteAnswerError):
            await self.call(SERVERS, ended=False, lease_s=-60)
        self.assertEqual(len(self.sent), 1)

    async def test_crash_is_noted(self):
        """Nothing was remembered of a call beyond its own run."""
        with self.assertRaises(IncompleteAnswerError):
            await self.call(SERVERS)
        await asyncio.gather(*self.watch_tasks())
        crashes, _ = self.watch.report()
        self.assertEqual({note.requests for note in crashes}, {(CALL.traits,)})
        self.assertEqual(len(crashes), MOST_SERVERS)

    async def test_quarantined_call_is_refused_unsent(self):
        """Pattern: the same path with another body is another call."""
        held = Quarantine(service=SERVICE, parts=CALL.traits, since=0, until=1e12)
        with self.assertRaises(NotRunError):
            await self.call(SERVERS, quarantines=(held,))
        self.assertEqual(self.sent, [])
        with self.assertRaises(IncompleteAnswerError):
            other = dataclasses.replace(CALL, body=b'other')
            await self.call(SERVERS, quarantines=(held,), call=other)
        self.assertEqual(len(self.sent), MOST_SERVERS)

    def watch_tasks(self):
        return [task for task in asyncio.all_tasks() if task.get_name() == 'crash-probe']

    async def test_lost_answers_are_asked_for_again(self):
        """Pattern: the connections are lost, and the servers go on."""
        with self.assertRaises(IncompleteAnswerError):
            await self.call(SERVERS, ended=False)
        self.assertGreater(len(self.sent), MOST_SERVERS)


if __name__ == '__main__':
    unittest.main()
