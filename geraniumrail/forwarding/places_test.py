"""Guards how forwarded requests wait for a place at a plain server that reports a long queue."""

import asyncio
import unittest

from geraniumrail.core.load_report import LoadReport
from geraniumrail.deployment.service import EngineLimits, ServiceSpec
from geraniumrail.forwarding.testing import (
    HANG,
    SERVICE,
    Reply,
    StandIn,
    head,
    inbound,
    make_forwarder,
    route,
)

FULL = 'X-Load: 6,24,6\r\n'
OK = [head('req-1', body=b'found')]
OK_FULL = [head('req-1', body=b'found', extra=FULL)]
REFUSED_FULL = [head('req-1', '503 Full', body=b'', extra=f'X-Not-Run: 1\r\n{FULL}')]


class PlacesTest(unittest.IsolatedAsyncioTestCase):
    async def forwarder(self, *scripts, **changes):
        """Returns a forwarder of which one answer has reported a full queue."""
        self.server = await StandIn('i-1', OK_FULL, *scripts).start()
        self.addAsyncCleanup(self.server.stop)
        forwarder = make_forwarder([route(**changes)], [self.server.backend()])
        self.addAsyncCleanup(forwarder.parts.connections.close)
        self.clock = forwarder.parts.clock
        await self.serve(forwarder)
        gate = forwarder.parts.places.gates[SERVICE]
        self.limit = gate.limits.limit('i-1')
        self.assertTrue(self.limit.is_limited)
        self.limit.take(self.clock.now())  # the place that is left
        self.limit.rate_per_s = 0  # until a test sets it
        return forwarder

    async def serve(self, forwarder, **changes):
        reply = Reply()
        await forwarder.serve(inbound(self.clock, **changes), reply)
        return reply

    async def waiting(self, forwarder, **changes):
        reply = Reply()
        request = inbound(self.clock, **changes)
        task = asyncio.create_task(forwarder.serve(request, reply))
        self.limit.rate_per_s = 0.5  # a place in 2 s
        async with asyncio.timeout(2):
            while not forwarder.parts.places.waiting_by_service()[SERVICE]:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
        return task, reply

    async def test_new_leader_that_knows_few_entries_leaves_the_parts_as_they_were(self):
        """Each entry took the places of those that had not reported to the new leader yet."""
        forwarder = await self.forwarder(target_s=0.2)
        gate = forwarder.parts.places.gates[SERVICE]
        for entries in (83, 1):
            forwarder.parts.view.entry_count.observe(entries, self.clock.now())
            self.assertEqual(gate.limits.entries(), 83)

    async def test_request_without_a_place_in_time_is_rejected_and_not_sent(self):
        """It was sent, rejected by the server after the trip, or answered late."""
        forwarder = await self.forwarder(target_s=0.2)
        reply = await self.serve(forwarder)
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(self.server.requests), 1)
        self.assertGreater(reply.error.fields['retry_after_s'], 0)
        self.assertLess(reply.error.fields['retry_after_s'], 0.2)

    async def test_request_is_sent_when_a_place_is_free(self):
        """A place stayed idle while a request waited."""
        forwarder = await self.forwarder(OK, target_s=4)
        self.limit.rate_per_s = 5.0
        reply = await self.serve(forwarder)
        self.assertEqual((reply.status, reply.content), (200, b'found'))
        self.assertEqual(len(self.server.requests), 2)

    async def test_refusal_teaches_too(self):
        """A server that refuses everything reports its load in refusals only."""
        server = await StandIn('i-1', REFUSED_FULL, OK).start()
        self.addAsyncCleanup(server.stop)
        forwarder = make_forwarder([route(attempts=1)], [server.backend()])
        self.addAsyncCleanup(forwarder.parts.connections.close)
        self.clock = forwarder.parts.clock
        reply = await self.serve(forwarder)
        self.assertEqual(reply.status, 503)
        self.assertGreater(forwarder.parts.places.rates_by_service()[SERVICE], 0)

    async def test_caller_that_leaves(self):
        """A place was used for a caller that had left."""
        forwarder = await self.forwarder(OK, target_s=4)
        task, _ = await self.waiting(forwarder)
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(forwarder.parts.places.waiting_by_service(), {SERVICE: 0})
        self.assertEqual(len(self.server.requests), 1)

    async def test_end_of_a_planned_stop_rejects_what_waits(self):
        """The entry ended without an answer to requests that waited."""
        forwarder = await self.forwarder(OK, target_s=4)
        task, reply = await self.waiting(forwarder)
        forwarder.expire()
        await task
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(self.server.requests), 1)

    async def test_expired_deadline_is_not_sent(self):
        """A request was sent after its caller had stopped waiting."""
        forwarder = await self.forwarder(OK, target_s=4)
        reply = await self.serve(forwarder, deadline_s=0.05)
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(self.server.requests), 1)

    async def test_server_that_is_lost_while_a_request_waits(self):
        """The request was sent to the server that had left."""
        forwarder = await self.forwarder(HANG, target_s=4)
        task, reply = await self.waiting(forwarder)
        forwarder.parts.view.forget('i-1')
        self.limit.give_back()
        forwarder.parts.places.observe(SERVICE, 'i-1', LoadReport(slots=6))
        await task
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(self.server.requests), 1)

    async def test_repeat_is_no_promise(self):
        """A repeat without a place was answered 503, though the first attempt may have run."""
        forwarder = await self.forwarder(
            [head('req-1', '500 Failed', body=b'', extra=FULL)], target_s=0.2, timeout_s=0.5
        )
        other = await StandIn('i-2').start()
        self.addAsyncCleanup(other.stop)
        gate = forwarder.parts.places.gates[SERVICE]
        gate.observe('i-2', LoadReport(running=6, queued=24, slots=6))
        gate.limits.limit('i-2').take(self.clock.now())
        gate.limits.limit('i-2').rate_per_s = 0
        forwarder.parts.view.observe([other.backend()])
        self.limit.give_back()
        reply = await self.serve(forwarder)
        self.assertEqual(len(self.server.requests), 2)
        self.assertEqual((reply.status, other.requests), (504, []))

    async def test_engines_are_not_limited(self):
        """The fair queue and the windows of engines are another discipline."""
        server = await StandIn('i-1', OK_FULL, OK_FULL, OK).start()
        self.addAsyncCleanup(server.stop)
        forwarder = make_forwarder([route(target_s=0.2)], [server.backend()])
        self.addAsyncCleanup(forwarder.parts.connections.close)
        self.clock = forwarder.parts.clock
        forwarder.parts.view.table.services_by_name[SERVICE] = ServiceSpec(
            name=SERVICE, engine=EngineLimits(slots=6, kv_tokens=1000)
        )
        replies = [await self.serve(forwarder) for _ in range(3)]
        self.assertEqual([reply.status for reply in replies], [200] * 3)
        self.assertEqual(forwarder.parts.places.gates, {})


if __name__ == '__main__':
    unittest.main()
