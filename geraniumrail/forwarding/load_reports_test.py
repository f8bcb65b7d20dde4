"""Guards what answers that report a load teach of the speed of a backend server, at the socket."""

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.forwarder_test import ForwarderCase
from geraniumrail.forwarding.testing import StandIn, chunk, event, head

REQUESTS = 48
SLOW_S = 0.03


class LoadReportsTest(ForwarderCase):
    async def speeds(self, slow, fast, route):
        """Serves requests by a slow and a fast backend server and returns their speeds."""
        stands = await self.started(StandIn('slow', *[slow] * REQUESTS))
        stands += await self.started(StandIn('fast', *[fast] * REQUESTS))
        forwarder = testing.make_forwarder([route], [stand.backend() for stand in stands])
        for _ in range(REQUESTS):
            reply = await self.serve(forwarder)
            self.assertEqual(reply.ended, 'whole')
        speeds, now = forwarder.parts.view.knowledge.speeds, forwarder.parts.clock.now()
        return speeds.speed('slow', now), speeds.speed('fast', now)

    async def test_plain_answers_tell_the_speed(self):
        """Servers of one service differ in speed, which nothing in their answers says."""
        answer = head('req-1', body=b'x', extra='X-Load: 0,0,6\r\n')
        slow, fast = await self.speeds([SLOW_S, answer], [answer], testing.route())
        self.assertLess(slow, fast)

    async def test_pauses_of_streams_tell_the_speed(self):
        """The first event of a stream without a prompt says nothing about its engine."""
        begin = head('req-1', extra='X-Load: 0,0,6\r\n')
        pieces = [chunk(event(number)) for number in range(10)]
        paused = [step for piece in pieces for step in (piece, SLOW_S / 10)]
        route = testing.route(kind='stream')
        slow, fast = await self.speeds(
            [begin, *paused, chunk(b'')], [begin, *pieces, chunk(b'')], route
        )
        self.assertLess(slow, fast)

    async def test_answers_without_a_load_teach_nothing(self):
        """Without the queue, a server that has more to do would pass for a slow one."""
        answer = head('req-1', body=b'x')
        speeds = await self.speeds([SLOW_S, answer], [answer], testing.route())
        self.assertEqual(speeds, (1, 1))
