"""Guards the backend servers of one entry against requests that end them, at the socket."""

import asyncio

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.admitted import admit
from geraniumrail.forwarding.forwarder_test import END, ForwarderCase
from geraniumrail.forwarding.inbound import PromptPart
from geraniumrail.forwarding.run import MAX_LOST
from geraniumrail.forwarding.testing import RESET, StandIn, chunk, event, head
from geraniumrail.quarantine.quarantine import Quarantine

PARTS = tuple(PromptPart(part_id=part, tokens=8) for part in ('first', 'deadly', 'own'))
SHARED = ('first', 'deadly')
BEGINS = [head('req-1'), 0.01, RESET]


class Crashing(StandIn):
    """Ends as soon as it begins to answer."""

    async def _play(self, script, writer, reader):
        try:
            await super()._play(script, writer, reader)
        except ConnectionResetError:
            self.server.close()
            raise


def stream_route(**changes):
    return testing.route(**{'kind': 'stream', 'resumable': True, 'gap_s': 0.25, **changes})


class CrashTest(ForwarderCase):
    def forwarder(self, route, stands):
        """Has saved enough retries for each backend server."""
        made = testing.make_forwarder([route], [stand.backend() for stand in stands])
        for _ in range(10):
            made.parts.retries.record_request(testing.SERVICE, 1, made.parts.clock.now())
        return made

    def fingerprint(self, forwarder, **changes):
        """Returns what is remembered of a request of its own."""
        inbound = testing.inbound(forwarder.parts.clock, **changes)
        return admit(inbound, forwarder.parts).traits[-1]

    async def crashing(self, count, route, script=BEGINS):
        """Serves one request by backend servers that all end on it."""
        stands = await self.started(
            *(Crashing(f'i-{number}', list(script)) for number in range(count))
        )
        forwarder = self.forwarder(route, stands)
        reply = await self.serve(forwarder, prompt_tokens=24, output_tokens=8, parts=PARTS)
        return stands, forwarder, reply

    async def test_request_does_not_end_one_backend_server_after_the_other(self):
        """A backend server that had ended did not count as an attempt, so one request that might
        be repeated ended as many as the retry budget allowed."""
        stands, _, reply = await self.crashing(5, stream_route())
        self.assertEqual(sum(len(stand.requests) for stand in stands), MAX_LOST)
        self.assertIn(reply.status, {502, 504})

    async def test_plain_request_does_not_end_one_backend_server_after_the_other(self):
        """The same at a plain service, whose requests name no parts."""
        stands = await self.started(*(Crashing(f'i-{number}', [RESET]) for number in range(5)))
        forwarder = self.forwarder(testing.route(), stands)
        reply = await self.serve(forwarder)
        self.assertEqual(sum(len(stand.requests) for stand in stands), MAX_LOST)
        self.assertIn(reply.status, {502, 504})

    async def test_crash_is_noted_with_the_shared_parts(self):
        """The last part is of the request alone and says nothing about others; the fingerprint
        names the request."""
        stands, forwarder, _ = await self.crashing(1, stream_route(attempts=1))
        await asyncio.sleep(0.2)
        crashes, _ = forwarder.parts.watch.report()
        own = self.fingerprint(forwarder, prompt_tokens=24, output_tokens=8, parts=PARTS)
        self.assertEqual([note.requests for note in crashes], [((*SHARED, own),)])
        self.assertEqual(len(stands[0].requests), 1)

    async def test_crash_by_a_plain_request_is_noted(self):
        """Nothing was remembered of a request without parts, repeatable or not, that had crashed
        its server: it came again and crashed one server after the other."""
        for kind in ('safe', 'unsafe'):
            with self.subTest(kind=kind):
                (stand,) = await self.started(Crashing('i-1', [RESET]))
                route = testing.route(kind=kind, attempts=1)
                forwarder = self.forwarder(route, [stand])
                await self.serve(forwarder, body=b'deadly')
                await asyncio.sleep(0.2)
                crashes, _ = forwarder.parts.watch.report()
                own = self.fingerprint(forwarder, body=b'deadly')
                self.assertEqual([note.requests for note in crashes], [((own,),)])

    async def test_quarantined_plain_request_is_refused_unsent(self):
        """Pattern: other requests of the same route and caller go on, and an answer to one of them
        doesn't count for the request that is held back."""
        (stand,) = await self.started(StandIn('i-1', [head('req-1', body=b'done')]))
        forwarder = self.forwarder(testing.route(), [stand])
        deadly = self.fingerprint(forwarder, body=b'deadly')
        held = Quarantine(service=testing.SERVICE, parts=(deadly,), since=0, until=1e12)
        forwarder.parts.watch.take((held,), {testing.SERVICE: (deadly,)}, ())
        reply = await self.serve(forwarder, body=b'deadly')
        self.assertEqual((reply.status, reply.error.type_name), (503, 'not_run'))
        self.assertGreater(reply.error.fields['retry_after_s'], 0)
        reply = await self.serve(forwarder, body=b'sound')
        self.assertEqual((reply.status, len(stand.requests)), (200, 1))
        self.assertEqual(forwarder.parts.watch.report(), ((), ()))

    async def test_lost_connection_is_no_crash(self):
        """Answers get lost while their engine goes on; its requests are not to blame."""
        (stand,) = await self.started(StandIn('i-1', list(BEGINS)))
        forwarder = testing.make_forwarder([stream_route(attempts=1)], [stand.backend()])
        await self.serve(forwarder, prompt_tokens=24, output_tokens=8, parts=PARTS)
        await asyncio.sleep(0.2)
        self.assertEqual(forwarder.parts.watch.report(), ((), ()))

    async def test_stream_that_has_gone_on_is_not_to_blame(self):
        """Streams of other callers break off with the engine that a request has ended."""
        went_on = [head('req-1'), chunk(event(1)), 0.4, chunk(event(2)), RESET]
        _, forwarder, _ = await self.crashing(1, stream_route(attempts=1), went_on)
        await asyncio.sleep(0.2)
        self.assertEqual(forwarder.parts.watch.report()[0], ())

    async def test_quarantined_request_is_refused_unsent(self):
        """Pattern: the caller is told at once that it did not run, and when to come back."""
        answers = [head('req-1'), chunk(event(1)), END]
        (stand,) = await self.started(StandIn('i-1', list(answers), list(answers)))
        forwarder = testing.make_forwarder([stream_route()], [stand.backend()])
        held = Quarantine(service=testing.SERVICE, parts=('deadly',), since=0, until=1e12)
        forwarder.parts.watch.take((held,), None, ())
        reply = await self.serve(forwarder, prompt_tokens=24, output_tokens=8, parts=PARTS)
        self.assertEqual((reply.status, reply.error.type_name), (503, 'not_run'))
        self.assertGreater(reply.error.fields['retry_after_s'], 0)
        sound = (PARTS[0], PARTS[2])
        reply = await self.serve(forwarder, prompt_tokens=16, output_tokens=8, parts=sound)
        self.assertEqual((reply.status, len(stand.requests)), (200, 1))
