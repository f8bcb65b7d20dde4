"""Tests of answers to callers at the socket."""

import asyncio
import unittest

from aiohttp import web

from geraniumrail.callers.http_reply import HttpReply

BODY = bytes(range(256)) * 4096 * 16
SMALL_BYTES = 1024 * 1024
LIMIT_S = 20


class HttpReplyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.asked = asyncio.Event()
        server = web.Server(self.serve)
        runner = web.ServerRunner(server)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def serve(self, request):
        reply = HttpReply(request, closes=True)
        self.transport = request.transport
        self.asked.set()
        await reply.answer(200, (('X-Custom', 'kept'),), BODY)
        return reply.response

    async def ask(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(LIMIT_S):
            await self.asked.wait()
        return reader

    async def test_answer_of_a_slow_caller_is_kept_once(self):
        """Its transport had a copy of all that the caller had not taken."""
        await self.ask()
        sizes = []
        for _ in range(50):
            await asyncio.sleep(0)
            sizes.append(self.transport.get_write_buffer_size())
        self.assertGreater(max(sizes), 0)
        self.assertLess(max(sizes), SMALL_BYTES)

    async def test_large_answer_is_whole(self):
        """An answer in parts must have the length and the bytes of the whole."""
        reader = await self.ask()
        async with asyncio.timeout(LIMIT_S):
            found = await reader.read()
        head, _, body = found.partition(b'\r\n\r\n')
        self.assertIn(f'Content-Length: {len(BODY)}'.encode(), head)
        self.assertIn(b'X-Custom: kept', head)
        self.assertNotIn(b'Transfer-Encoding', head)
        self.assertEqual(body, BODY)


if __name__ == '__main__':
    unittest.main()
