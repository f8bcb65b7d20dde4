"""Guards answers whose head is cut short: none of it may reach a caller as a whole answer."""

import itertools

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import END, ForwarderCase
from geraniumrail.forwarding.testing import CLOSE, RESET, StandIn, chunk, event, head

STATUS = b'HTTP/1.1 200 OK\r\n'
SIGNED = b'X-Request-Id: req-1\r\nX-Sealed: 1\r\n'
HEADS = {
    'chunks': STATUS + SIGNED + b'Transfer-Encoding: chunked\r\n\r\n',
    'end of connection': STATUS + SIGNED + b'\r\n',
    'length': STATUS + SIGNED + b'Content-Length: 5\r\n\r\n',
    'length first': STATUS + b'Content-Length: 0\r\n' + SIGNED + b'\r\n',
}
ROUTES = (testing.route(kind='unsafe'), testing.route(kind='stream', gap_s=0.25, attempts=1))


class CutHeadTest(ForwarderCase):
    async def check(self, whole, route, end, step):
        (stand,) = await self.started(StandIn('i-1'))
        forwarder = testing.make_forwarder([route], [stand.backend()])
        for cut in range(len(whole) - 1, 0, -step):
            for is_kept in (False, True):
                before = [[head('req-0') + chunk(event(1)) + END]] * is_kept
                stand.scripts = [*before, [whole[:cut], end]]
                with self.subTest(head=whole[:cut], kind=route.kind, kept=is_kept):
                    # A new announcement ends the pause after the last failure.
                    forwarder.parts.view.observe((stand.backend(sequence=len(stand.requests) + 2),))
                    if is_kept:
                        reply = await self.serve(forwarder, request_id='req-0')
                        self.assertEqual(reply.ended, 'whole')
                    reply = await self.serve(forwarder)
                    self.assertEqual((reply.status, reply.ended), (502, 'refused'))

    async def test_head_that_ends_early_is_no_answer(self):
        """Another operator's callers got a 200 with an empty or short body, framed as whole, when
        an engine stopped in the middle of a head and closed its connection."""
        for whole, route in itertools.product(HEADS.values(), ROUTES):
            await self.check(whole, route, CLOSE, 1)
            await self.check(whole, route, RESET, 7)
