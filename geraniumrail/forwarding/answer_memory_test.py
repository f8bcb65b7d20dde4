"""Guards the memory of an entry while backend servers send answers without end."""

import asyncio
import dataclasses
import tracemalloc
import unittest

from geraniumrail.backends.answer_budget import NO_ROOM
from geraniumrail.forwarding.endless_test import BLOCK, SIGNED, TIMEOUT_S, Endless
from geraniumrail.forwarding.testing import (
    Reply,
    StandIn,
    chunk,
    head,
    inbound,
    make_forwarder,
    route,
)

CALLERS = 24
MIB = 1024 * 1024
# The budget, a joined answer of the largest size, and one read of each connection.
PEAK_BYTES = 160 * MIB
LIMIT_S = 120  # for what takes some seconds, on a busy machine
ANNOUNCED = SIGNED + b'Content-Length: 1099511627776\r\n\r\n'
WITHOUT_LENGTH = SIGNED + b'Connection: close\r\n\r\n'


class AnswerMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def begin(self, beginning, piece):
        """Starts an endless server and an entry that knows only this one."""
        self.server = await Endless('i-1', beginning, piece).start()
        self.addAsyncCleanup(self.server.stop)
        chosen = route(kind='unsafe', timeout_s=TIMEOUT_S, attempts=1)
        forwarder = make_forwarder([chosen], [self.server.backend()])
        self.addAsyncCleanup(forwarder.parts.connections.close)
        return forwarder

    async def ask(self, forwarder, **changes):
        reply = Reply()
        await forwarder.serve(inbound(forwarder.parts.clock, **changes), reply)
        return reply

    async def ask_all(self, forwarder):
        asked = (self.ask(forwarder) for _ in range(CALLERS))
        return await asyncio.gather(*asked)

    async def check_peak(self, beginning, piece):
        forwarder = await self.begin(beginning, piece)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        async with asyncio.timeout(LIMIT_S):
            replies = await self.ask_all(forwarder)
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual({reply.status for reply in replies}, {502})
        self.assertLess(peak, PEAK_BYTES)
        return forwarder

    async def test_bodies_without_length_do_not_fill_the_memory(self):
        """All answers under way together held 32 MiB each."""
        await self.check_peak(WITHOUT_LENGTH, BLOCK)

    async def test_chunked_bodies_do_not_fill_the_memory(self):
        """All answers under way together held 32 MiB each."""
        await self.check_peak(head('req-1'), chunk(BLOCK))

    async def test_bodies_after_interim_answers_do_not_fill_the_memory(self):
        """The end of an interim answer was not to count as that of the answer."""
        hints = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
        await self.check_peak(hints + WITHOUT_LENGTH, BLOCK)

    async def test_nothing_stays_counted(self):
        """Bytes that were never returned would make the budget smaller with each request."""
        forwarder = await self.check_peak(head('req-1'), chunk(BLOCK))
        budget = forwarder.parts.connections.budget
        self.assertGreater(budget.broken_off[NO_ROOM], 0)
        self.assertEqual(budget.held_bytes, 0)

    async def test_body_of_a_huge_announced_length_is_not_read(self):
        """Its length can't be accepted, but 32 MiB of each were read and kept."""
        await self.check_peak(ANNOUNCED, BLOCK)
        self.assertLess(self.server.sent, CALLERS * 4 * MIB)

    async def test_sound_answers_are_served_beside_endless_ones(self):
        """Large answers of a sound server were not to be broken off for those without end."""
        endless = await self.begin(WITHOUT_LENGTH, BLOCK)
        body = bytes(16 * MIB)
        scripts = [[head('req-2', body=body)] for _ in range(4)]
        sound = await StandIn('i-2', *scripts).start()
        self.addAsyncCleanup(sound.stop)
        forwarder = make_forwarder([route(timeout_s=TIMEOUT_S)], [sound.backend()])
        await forwarder.parts.connections.close()
        shared = endless.parts.connections
        forwarder.parts = dataclasses.replace(forwarder.parts, connections=shared)
        async with asyncio.timeout(LIMIT_S), asyncio.TaskGroup() as group:
            others = group.create_task(self.ask_all(endless))
            await self.server.asked.wait()
            for _ in scripts:
                reply = await self.ask(forwarder, request_id='req-2')
                self.assertEqual((reply.status, len(reply.content)), (200, len(body)))
        self.assertEqual({reply.status for reply in others.result()}, {502})

    async def test_whole_answers_of_slow_callers_count_until_they_are_delivered(self):
        """Answers that wait for their callers were not counted, also while the connection that
        brought them carries the next one."""
        body = bytes(25 * MIB)  # a fourth one exceeds the budget
        *request_ids, last_id = [f'req-{number}' for number in range(1, 5)]
        scripts = [[head(each, body=body)] for each in (*request_ids, last_id)]
        server = await StandIn('i-1', *scripts).start()
        self.addAsyncCleanup(server.stop)
        forwarder = make_forwarder([route(timeout_s=TIMEOUT_S)], [server.backend()])
        connections = forwarder.parts.connections
        self.addAsyncCleanup(connections.close)
        replies = [SlowReply() for _ in range(3)]
        async with asyncio.timeout(LIMIT_S), asyncio.TaskGroup() as group:
            for request_id, reply in zip(request_ids, replies, strict=True):
                request = inbound(forwarder.parts.clock, request_id=request_id)
                group.create_task(forwarder.serve(request, reply))
                await reply.waits.wait()
            self.assertEqual(server.connections, 1)
            self.assertGreaterEqual(connections.budget.held_bytes, 3 * len(body))
            refused = await self.ask(forwarder)
            self.assertEqual((refused.status, refused.error.type_name), (503, 'not_run'))
            self.assertIsNotNone(refused.error.fields['retry_after_s'])
            self.assertEqual(len(server.requests), 3)
            for reply in replies:
                reply.goes_on.set()
        self.assertEqual(connections.budget.held_bytes, 0)
        self.assertEqual((await self.ask(forwarder, request_id=last_id)).status, 200)

    async def test_large_answers_leave_room_for_small_ones(self):
        """Two answers of 30 MB that waited for slow callers made an entry with 420 MB refuse all
        requests for up to 60 s."""
        large, budget = bytes(30 * MIB), 84 * MIB  # a fifth of the memory
        server = await StandIn(
            'i-1',
            *([head(f'req-{number}', body=large)] for number in (1, 2)),
            *([head(f'req-{number}', body=b'small')] for number in (3, 4)),
        ).start()
        self.addAsyncCleanup(server.stop)
        routes = [
            route(name='large', prefix='/large', timeout_s=TIMEOUT_S),
            route(name='small', prefix='/small', timeout_s=TIMEOUT_S),
        ]
        forwarder = make_forwarder(routes, [server.backend()])
        self.addAsyncCleanup(forwarder.parts.connections.close)
        forwarder.parts.connections.budget.limit_bytes = budget
        replies = [SlowReply() for _ in range(2)]
        async with asyncio.timeout(LIMIT_S), asyncio.TaskGroup() as group:
            for number, reply in enumerate(replies, 1):
                request = inbound(
                    forwarder.parts.clock, request_id=f'req-{number}', target='/large'
                )
                group.create_task(forwarder.serve(request, reply))
                await reply.waits.wait()
            for request_id in ('req-3', 'req-4'):
                small = await self.ask(forwarder, request_id=request_id, target='/small')
                self.assertEqual((small.status, small.content), (200, b'small'))
            refused = await self.ask(forwarder, target='/large')
            self.assertEqual((refused.status, refused.error.type_name), (503, 'not_run'))
            self.assertEqual(len(server.requests), 4)
            for reply in replies:
                reply.goes_on.set()


class SlowReply(Reply):
    """Takes its answer when told to."""

    def __init__(self):
        super().__init__()
        self.waits, self.goes_on = asyncio.Event(), asyncio.Event()

    async def answer(self, status, headers, body):
        self.waits.set()
        await self.goes_on.wait()
        await super().answer(status, headers, body)


if __name__ == '__main__':
    unittest.main()
