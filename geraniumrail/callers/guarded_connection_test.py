"""Guards requests that are inside the limits beside a refusal on their connection."""

import asyncio
import unittest

from aiohttp import web

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.connection_limit import ConnectionLimit
from geraniumrail.callers.head_budget import HeadBudget
from geraniumrail.callers.limited_server import LimitedServer, read_counted
from geraniumrail.core.byte_budget import DEFAULT_BUDGET_BYTES
from geraniumrail.deployment.http_limits import HttpLimits
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.forwarding.body_budget import BodyBudget

LIMIT_S = 10
HEAD_TIMEOUT_S = 0.3
LINE_BYTES = 2000
LIMITS = HttpLimits(header_bytes=1000, body_bytes=100_000, header_timeout_s=HEAD_TIMEOUT_S)
GET = b'GET /%b HTTP/1.1\r\nHost: x\r\n\r\n'
CHUNKED = b'POST /body HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'


class GuardedConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = BodyBudget(DEFAULT_BUDGET_BYTES)
        self.ran, self.release = [], asyncio.Event()
        self.clients = ClientLimits(HeadBudget(4000), ConnectionLimit(3))
        server = LimitedServer(
            self.serve,
            lambda: LIMITS,
            self.clients,
            access_log=None,
            handler_cancellation=True,
            max_line_size=LINE_BYTES,
        )
        runner = web.ServerRunner(server)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.address = runner.addresses[0][:2]

    async def serve(self, request):
        with self.bodies.request('x') as body:
            try:
                await read_counted(request, LIMITS.body_bytes, LIMIT_S, body)
            except GeraniumrailError as error:
                return web.Response(status=error.status)
        self.ran.append(request.path)
        if request.path == '/wait':
            await self.release.wait()
        return web.Response(text=request.path)

    async def connect(self, content=b''):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(content)
        return reader, writer

    async def rest(self, reader):
        async with asyncio.timeout(LIMIT_S):
            return await reader.read()

    async def until_ran(self, path):
        async with asyncio.timeout(LIMIT_S):
            while path not in self.ran:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_requests_before_a_refused_head_are_answered(self):
        """A close for a head that is too long would lose the answers before it."""
        reader, writer = await self.connect(GET % b'wait' + GET % b'next')
        await self.until_ran('/wait')
        writer.write(b'GET /' + b'a' * 4000)
        await asyncio.sleep(0.1)
        self.release.set()
        answers = await self.rest(reader)
        self.assertEqual(answers.count(b' 200 OK'), 2)
        self.assertIn(b' 431 ', answers)
        self.assertEqual(self.ran, ['/wait', '/next'])

    async def test_refused_framing_ends_its_request(self):
        """The handler waited for the rest of a body that the parser had given up."""
        for framing in (b'1;' + b'a' * 4000, b'1\r\na\r\n0\r\n' + b'a:b\r\n' * 900):
            with self.subTest(framing=framing[:9]):
                reader, writer = await self.connect(CHUNKED)
                await asyncio.sleep(0.1)
                writer.write(framing)
                self.assertRegex(await self.rest(reader), b'^HTTP/1.[01] 4(00|31) ')
        self.assertEqual(self.ran, [])

    async def test_malformed_body_ends_its_request(self):
        """A chunk size that is no number left the handler waiting until its limit of time."""
        reader, writer = await self.connect(CHUNKED)
        await asyncio.sleep(0.1)
        writer.write(b'zz\r\n')
        self.assertTrue((await self.rest(reader)).startswith(b'HTTP/1.1 400 '))
        self.assertEqual(self.ran, [])

    async def test_unfinished_head_closes_nothing_while_an_answer_is_due(self):
        """The limit of a later head cut off the answer that was under way."""
        reader, writer = await self.connect(GET % b'wait' + b'GET /next HTTP/1.1\r\nHo')
        await self.until_ran('/wait')
        await asyncio.sleep(2 * HEAD_TIMEOUT_S)
        self.release.set()
        async with asyncio.timeout(LIMIT_S):
            await reader.readuntil(b'/wait')
            writer.write(b'st: x\r\n\r\n')
            await reader.readuntil(b'/next')

    async def test_later_head_has_a_limit_of_time(self):
        """Only the first head of a connection had one; later ones held their bytes for a minute."""
        reader, writer = await self.connect(GET % b'one')
        async with asyncio.timeout(LIMIT_S):
            await reader.readuntil(b'/one')
        writer.write(b'GET /two HTTP/1.1\r\nHo')
        self.assertEqual(await self.rest(reader), b'')

    async def test_largest_head_gives_way(self):
        """Heads within the limit of each exceeded the memory of the process together."""
        large, _ = await self.connect(b'GET /' + b'a' * 1900)
        await self.connect(b'GET /' + b'a' * 1000)
        await asyncio.sleep(0.1)
        await self.connect(b'GET /' + b'a' * 1200)
        self.assertTrue((await self.rest(large)).startswith(b'HTTP/1.0 503 '))
        self.assertEqual(self.clients.heads.held_bytes, 2210)

    async def test_idle_connection_gives_way_to_a_new_one(self):
        """Silent clients took all connections; a request under way must not be cut off for one."""
        busy, _ = await self.connect(GET % b'wait')
        await self.until_ran('/wait')
        served, writer = await self.connect(GET % b'one')
        await self.until_ran('/one')
        silent, _ = await self.connect(b'GET /')
        await asyncio.sleep(0.05)
        newest, _ = await self.connect(GET % b'new')
        await self.until_ran('/new')
        self.assertEqual(await self.rest(silent), b'')
        writer.write(GET % b'two')
        await self.until_ran('/two')
        self.release.set()
        async with asyncio.timeout(LIMIT_S):
            await busy.readuntil(b'/wait')
        self.assertEqual(len(self.clients.connections), 3)

    async def test_bytes_of_ended_connections_are_returned(self):
        """A budget that is not returned would refuse everyone after some time."""
        _, writer = await self.connect(b'GET /' + b'a' * 900)
        await asyncio.sleep(0.1)
        self.assertEqual(self.clients.heads.held_bytes, 905)
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.clients.heads.held_bytes, 0)
        self.assertEqual(len(self.clients.connections), 0)


if __name__ == '__main__':
    unittest.main()
