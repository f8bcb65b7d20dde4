"""Guards backend servers that say in an answer that they leave, at the socket of one entry."""

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import END, ForwarderCase
from geraniumrail.forwarding.testing import StandIn, chunk, event, head

LEAVING = 'X-Leaving: 1\r\n'
REFUSAL = head('req-1', '503 Full', b'', f'X-Not-Run: 1\r\n{LEAVING}')


class EngineLeavingTest(ForwarderCase):
    async def served(self, script, route):
        """Serves five requests by a backend server that says that it leaves, and by another one."""
        whole = [head('req-1', body=b'x')]
        stands = await self.started(
            StandIn('i-1', script, *[whole] * 9), StandIn('i-2', *[whole] * 9)
        )
        forwarder = testing.make_forwarder([route], [stands[0].backend()])
        first = await self.serve(forwarder)
        forwarder.parts.view.observe([stands[1].backend()])
        # An announcement that was sent before it knew.
        forwarder.parts.view.observe([stands[0].backend(sequence=9)])
        later = [await self.serve(forwarder) for _ in range(5)]
        return stands, first, later

    async def test_backend_server_that_says_it_leaves_gets_no_more(self):
        """Only announcements were read, which say so later or never."""
        script = [head('req-1', body=b'x', extra=LEAVING)]
        stands, first, later = await self.served(script, testing.route(kind='unsafe'))
        self.assertEqual([len(stand.requests) for stand in stands], [1, 5])
        self.assertEqual({reply.status for reply in (first, *later)}, {200})

    async def test_refusal_that_says_so_counts(self):
        """A backend server that leaves refuses new requests, and says why in the same head."""
        stands, first, _ = await self.served([REFUSAL], testing.route(kind='unsafe'))
        self.assertEqual(first.status, 503)
        self.assertEqual([len(stand.requests) for stand in stands], [1, 5])

    async def test_stream_that_says_so_goes_on(self):
        """What has begun is finished there."""
        script = [head('req-1', extra=LEAVING), chunk(event(1)), 0.05, chunk(event(2)), END]
        route = testing.route(kind='stream', resumable=True, gap_s=0.25)
        _, first, _ = await self.served(script, route)
        self.assertEqual((first.content, first.ended), (event(1) + event(2), 'whole'))

    async def test_new_process_under_the_same_id_gets_work(self):
        """It has said nothing."""
        script = [head('req-1', body=b'x', extra=LEAVING)]
        (stand,) = await self.started(StandIn('i-1', script, [head('req-1', body=b'y')]))
        forwarder = testing.make_forwarder([testing.route()], [stand.backend()])
        await self.serve(forwarder)
        self.assertEqual((await self.serve(forwarder)).status, 503)
        forwarder.parts.view.observe([stand.backend(incarnation=1)])
        self.assertEqual((await self.serve(forwarder)).content, b'y')
