"""Guards calls in progress: a call without an answer must not end the others to that address."""

import asyncio
import collections
import contextlib
import random
import time
import unittest

from geraniumrail.errors.link import LinkError
from geraniumrail.links.client import LinkClient
from geraniumrail.links.messages import Accepted, LeavingNotice, Propose, Proposed
from geraniumrail.links.server import LinkServer

LIMIT_S = 20
MOMENTS = 400
STEPS = 12  # of the event loop, within which a call to a closed port fails


class LinkClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.asked = asyncio.Event()
        self.answer = asyncio.Event()
        server = LinkServer('127.0.0.1:0')
        server.register(LeavingNotice, self.never)
        server.register(Propose, self.later)
        server.register_follow(self.follow)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.client = LinkClient(server.address)
        self.addAsyncCleanup(self.client.close)

    async def never(self, request):
        await asyncio.Event().wait()

    async def later(self, request):
        self.asked.set()
        await self.answer.wait()
        return Proposed(result=b'')

    async def follow(self, reports):
        async for _ in reports:
            yield Accepted()

    async def reports(self):
        yield Accepted()
        await self.answer.wait()
        yield Accepted()
        await asyncio.Event().wait()

    async def test_timeout_of_one_call_leaves_other_calls_and_streams_in_progress(self):
        async with asyncio.timeout(LIMIT_S):
            call = asyncio.create_task(self.client.call(Propose(command=b''), LIMIT_S))
            async with contextlib.aclosing(self.client.follow(self.reports())) as updates:
                await anext(updates)
                await self.asked.wait()
                with self.assertRaises(LinkError):
                    await self.client.call(LeavingNotice(backends=()), 0.05)
                self.answer.set()
                self.assertEqual(await anext(updates), Accepted())
            self.assertEqual(await call, Proposed(result=b''))

    async def test_closed_connection_fails_the_call_and_not_its_task(self):
        call = asyncio.create_task(self.client.call(Propose(command=b''), LIMIT_S))
        await self.asked.wait()
        await self.client.close()
        with self.assertRaises(LinkError):
            await call


class CancelledCallTest(unittest.IsolatedAsyncioTestCase):
    """A task that was cancelled while its stream failed went on, and its process never stopped."""

    async def asyncSetUp(self):
        server = LinkServer('127.0.0.1:0')
        await server.start()
        self.closed = server.address
        await server.stop()

    async def follow(self, client):
        async def reports():
            yield Accepted()
            await asyncio.Event().wait()

        async with contextlib.aclosing(client.follow(reports())) as updates:
            await anext(updates, None)

    async def call(self, client):
        await client.call(Propose(command=b''), LIMIT_S)

    async def end_call(self, work, rng):
        """Cancels a call at some moment and returns how its task ended."""
        client = LinkClient(self.closed)
        task = asyncio.create_task(work(client))
        for _ in range(rng.randrange(STEPS)):
            await asyncio.sleep(0)
            if rng.random() < 0.3:
                time.sleep(rng.uniform(0, 0.003))  # noqa: ASYNC251 -- gRPC's thread goes on
        was_cancelled = task.cancel()
        (ended,) = await asyncio.gather(task, return_exceptions=True)
        await client.close()
        return type(ended).__name__ if was_cancelled else 'ended before'

    async def test_cancellation_ends_a_task_whose_call_fails_at_the_same_moment(self):
        for work in (self.follow, self.call):
            with self.subTest(work=work.__name__):
                async with asyncio.timeout(LIMIT_S * 3):
                    ends = collections.Counter(
                        [await self.end_call(work, random.Random(seed)) for seed in range(MOMENTS)]
                    )
                self.assertLessEqual(ends.keys(), {'CancelledError', 'ended before'}, ends)


if __name__ == '__main__':
    unittest.main()
