"""Guards calls in progress: a call without an answer must not end the others to that address."""

import asyncio
import contextlib
import unittest

from geraniumrail.errors.link import LinkError
from geraniumrail.links.client import LinkClient
from geraniumrail.links.messages import Accepted, LeavingNotice, Propose, Proposed
from geraniumrail.links.server import LinkServer

LIMIT_S = 20


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


if __name__ == '__main__':
    unittest.main()
