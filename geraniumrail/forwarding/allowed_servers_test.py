"""Guards that no attempt reaches a server that is evacuated or in a region not allowed."""

import itertools
import unittest

from geraniumrail.backends.exchange import Exchange
from geraniumrail.core.load_report import LoadReport
from geraniumrail.entry.lease_wait import may_send
from geraniumrail.errors.backend import NotSentError
from geraniumrail.forwarding import testing
from geraniumrail.forwarding.attempt import Attempt
from geraniumrail.forwarding.dialect import Sending
from geraniumrail.forwarding.forwarder_test import END, ForwarderCase
from geraniumrail.forwarding.testing import RESET, StandIn, chunk, event, head
from geraniumrail.links.messages import ControlUpdate

HERE, THERE = 'shah-alam', 'cheras'
STREAM = {'kind': 'stream', 'resumable': True, 'gap_s': 0.2}
BUSY = LoadReport(slots=8, running=8, queued=90)


class AllowedServersCase(ForwarderCase):
    async def pair(self, here, there, route, idle=THERE, **organisation):
        """Starts a server in each of two places; the idle one is chosen first where it may be."""
        stands = await self.started(StandIn('i-1', here), StandIn('i-2', there))
        places = zip(stands, (HERE, THERE), ('klang-valley', 'johor'), strict=True)
        backends = [
            stand.backend(
                data_centre=place,
                region=region,
                load=LoadReport(slots=8) if place == idle else BUSY,
            )
            for stand, place, region in places
        ]
        return stands, testing.make_forwarder([route], backends, **organisation)

    def tell(self, forwarder, *evacuated):
        view = forwarder.parts.view
        update = ControlUpdate(
            term=1, answers=1, lease_s=60, revision=0, deployment_version=1, evacuated=evacuated
        )
        view.take(update, forwarder.parts.clock.now())


class EvacuatedTest(AllowedServersCase):
    async def test_first_choice(self):
        answer = [head('req-1', body=b'x')]
        (_, there), forwarder = await self.pair(answer, answer, testing.route())
        self.tell(forwarder, THERE)
        reply = await self.serve(forwarder)
        self.assertEqual((reply.status, there.requests), (200, []))

    async def test_further_attempt(self):
        """An attempt was lost, and its data centre or the next one was evacuated meanwhile."""
        (_, there), forwarder = await self.pair(
            [RESET], [head('req-1', body=b'x')], testing.route(), idle=HERE
        )
        self.tell(forwarder, THERE)
        reply = await self.serve(forwarder)
        self.assertEqual((reply.status >= 500, there.requests), (True, []))

    async def test_resumed_stream(self):
        begun = [head('req-1') + chunk(event(1)), RESET]
        rest = [head('req-1') + chunk(event(2)) + END]
        for evacuated, expected in (((), 1), ((THERE,), 0)):
            with self.subTest(evacuated=evacuated):
                (_, there), forwarder = await self.pair(
                    list(begun), list(rest), testing.route(**STREAM), idle=HERE
                )
                self.tell(forwarder, *evacuated)
                reply = await self.serve(forwarder)
                self.assertEqual(len(there.requests), expected)
                self.assertEqual(reply.ended, 'whole' if expected else 'broken')

    async def test_without_a_server_the_caller_is_rejected_at_once(self):
        (here, there), forwarder = await self.pair([], [], testing.route())
        self.tell(forwarder, HERE, THERE)
        began = forwarder.parts.clock.now()
        reply = await self.serve(forwarder)
        self.assertEqual((reply.status, here.requests, there.requests), (503, [], []))
        self.assertGreater(reply.error.fields['retry_after_s'], 0)
        self.assertLess(forwarder.parts.clock.now() - began, 1)

    async def test_server_that_announces_itself_meanwhile(self):
        answer = [head('req-1', body=b'x')]
        (here, there), forwarder = await self.pair(answer, answer, testing.route())
        self.tell(forwarder, HERE, THERE)
        forwarder.parts.view.observe([there.backend(data_centre=THERE, sequence=9)])
        self.assertEqual((await self.serve(forwarder)).status, 503)
        self.tell(forwarder)
        self.assertEqual((await self.serve(forwarder)).status, 200)

    async def test_request_that_was_chosen_before_is_not_sent(self):
        """An entry was frozen between its choice and its connection, and sent the request then."""
        (_, there), forwarder = await self.pair([], [], testing.route())
        parts = forwarder.parts
        self.addAsyncCleanup(parts.connections.close)
        backend = there.backend(data_centre=THERE)
        inbound = testing.inbound(parts.clock)
        sending = Sending(backend=backend, organisation='', left_s=5, priority=0, last_event_id='')
        attempt = Attempt(inbound, sending, parts.dialect)
        attempt.exchange.may_send = lambda: may_send(parts.view, backend)
        self.tell(forwarder, THERE)
        with self.assertRaises(NotSentError):
            await attempt.open(parts.connections)
        self.assertEqual(there.requests, [])
        self.assertIsNone(Exchange().may_send)

    async def test_no_further_attempt_without_a_lease(self):
        """A frozen entry thawed, and repeated its lost requests before its first update."""
        (here, there), forwarder = await self.pair(
            [0.3, RESET], [head('req-1', body=b'x')], testing.route(), idle=HERE, lease_s=0.2
        )
        reply = await self.serve(forwarder)
        self.assertEqual((len(here.requests), there.requests), (1, []))
        self.assertEqual(reply.status, 504)


class AllowedRegionsTest(AllowedServersCase):
    async def test_route_and_organisation_both_apply(self):
        """Either list was passed over where the other one was set."""
        lists = ((), ('klang-valley',), ('johor', 'klang-valley'), ('johor',), ('penang',))
        for of_route, of_holder in itertools.product(lists, lists):
            with self.subTest(of_route=of_route, of_holder=of_holder):
                answer = [head('req-1', body=b'x')]
                stands, forwarder = await self.pair(
                    list(answer),
                    list(answer),
                    testing.route(allowed_regions=of_route),
                    allowed_regions=of_holder,
                )
                reply = await self.serve(forwarder)
                allowed = {'klang-valley', 'johor'}
                allowed &= set(of_route or allowed) & set(of_holder or allowed)
                self.assertEqual(reply.status, 200 if allowed else 503)
                reached = {
                    region
                    for stand, region in zip(stands, ('klang-valley', 'johor'), strict=True)
                    if stand.requests
                }
                self.assertLessEqual(reached, allowed)

    async def test_further_attempts_and_resumed_streams_stay(self):
        begun = [head('req-1') + chunk(event(1)), RESET]
        for script, changes in (([RESET], {}), (begun, STREAM)):
            route = testing.route(allowed_regions=('klang-valley',), **changes)
            (here, there), forwarder = await self.pair(list(script), [], route)
            reply = await self.serve(forwarder)
            self.assertEqual(there.requests, [])
            self.assertNotEqual(reply.ended, 'whole')
            self.assertTrue(here.requests)

    async def test_server_of_an_unknown_region_is_not_allowed(self):
        (stand,) = await self.started(StandIn('i-1', [head('req-1', body=b'x')]))
        route = testing.route(allowed_regions=('klang-valley',))
        forwarder = testing.make_forwarder([route], [stand.backend(region='')])
        self.assertEqual((await self.serve(forwarder)).status, 503)


if __name__ == '__main__':
    unittest.main()
