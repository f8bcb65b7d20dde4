"""Guards the front against slow and silent callers, which must not hold connections or engines."""

import asyncio
import itertools
import json
import unittest

from geraniumrail.backends.chunk import Chunk
from geraniumrail.callers.routes import caller_routes
from geraniumrail.callers.server import HttpServer
from geraniumrail.config.key_ring import KeyRing
from geraniumrail.config.keys import KeyOwner, hash_key
from geraniumrail.config.limits import LimitsConfig
from geraniumrail.config.listen import ListenConfig
from geraniumrail.testing.ports import free_addresses

LIMIT_S = 30
TEXT = 'x' * 65536
START = b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
HEAD = START + b'Authorization: Bearer k\r\nContent-Length: %d\r\n\r\n'
BODY = b'{"model": "bench", "prompt": "p", "stream": true}'


class EndlessServing:
    """Answers until the caller's stream is closed."""

    def __init__(self):
        self.is_ready = True
        self.ended = asyncio.Event()

    def require_lease(self):
        """Holds."""

    def max_body_bytes(self):
        return 1000

    def service_of(self, model):
        return 'model-bench'

    def ready(self):
        return self.is_ready

    async def complete(self, call):
        try:
            for offset in itertools.count():
                event = {'choices': [{'index': 0, 'text': TEXT}]}
                yield Chunk(call.request_id, 1, offset, TEXT, 1, None, None, event)
        finally:
            self.ended.set()


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.serving = EndlessServing()
        address = free_addresses(1)[0]
        limits = LimitsConfig(header_timeout_s=0.2, body_timeout_s=0.2)
        owner = KeyOwner(name='k', role='caller', organisation='salon-a')
        keys = KeyRing({hash_key('k'): owner})
        routes = caller_routes(self.serving)
        server = HttpServer(ListenConfig(listen=address), limits, keys, routes)
        await server.start()
        self.addAsyncCleanup(server.stop)
        host, _, port = address.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(self.writer.close)

    async def rest(self):
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()

    async def test_connection_without_whole_headers_is_closed(self):
        self.writer.write(START)
        self.assertEqual(await self.rest(), b'')

    async def test_slow_body_gets_a_typed_error(self):
        self.writer.write(HEAD % 100 + b'{')
        head, _, body = (await self.rest()).partition(b'\r\n\r\n')
        self.assertIn(b' 408 ', head.splitlines()[0])
        self.assertEqual(json.loads(body)['error']['type'], 'request_timeout')

    async def test_stream_of_a_caller_that_takes_nothing_is_cancelled(self):
        self.writer.write(HEAD % len(BODY) + BODY)
        async with asyncio.timeout(LIMIT_S):
            await self.serving.ended.wait()

    async def test_leaving_entry_ends_kept_alive_connections_with_an_answer(self):
        self.serving.is_ready = False
        self.writer.write(b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
        answer = await self.rest()
        self.assertIn(b'Connection: close', answer)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))


if __name__ == '__main__':
    unittest.main()
