"""Guards TLS towards callers and operators: https is answered and plain HTTP is not."""

import asyncio
import pathlib
import ssl
import tempfile
import unittest
from unittest import mock

import aiohttp
import aiohttp.web
import trustme

from geraniumrail.callers import events, server
from geraniumrail.callers.failures import json_response
from geraniumrail.callers.server import HttpServer
from geraniumrail.config.key_ring import KeyRing
from geraniumrail.config.limits import LimitsConfig
from geraniumrail.config.listen import ListenConfig
from geraniumrail.config.tls import TlsConfig
from geraniumrail.testing.ports import free_addresses

LIMIT_S = 20


class HttpServerTlsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.authority = trustme.CA()
        issued = self.authority.issue_cert('127.0.0.1')
        issued.private_key_pem.write_to_path(folder / 'key.pem')
        issued.cert_chain_pems[0].write_to_path(folder / 'certificate.pem')
        files = TlsConfig(certificate=folder / 'certificate.pem', key=folder / 'key.pem')
        self.address = free_addresses(1)[0]
        routes = [aiohttp.web.get('/healthz', self.health)]
        listen = ListenConfig(listen=self.address, tls=files)
        self.server = HttpServer(listen, LimitsConfig(), KeyRing({}), routes)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def health(self, request):
        return json_response({'status': 'ok'})

    async def test_https_is_answered(self):
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        async with self.session.get(f'https://{self.address}/healthz', ssl=context) as answer:
            self.assertEqual(answer.status, 200)

    async def test_plain_http_is_not_answered(self):
        with self.assertRaises(aiohttp.ClientError):
            await self.session.get(f'http://{self.address}/healthz')

    async def test_refused_handshake_is_one_line(self):
        """It is expected whenever a stranger connects, and printed a traceback."""
        logged = asyncio.Queue()

        def note(event, **fields):
            logged.put_nowait(event)

        with mock.patch.object(server, 'log', note), self.assertNoLogs('asyncio', 'ERROR'):
            with self.assertRaises(aiohttp.ClientError):
                await self.session.get(f'http://{self.address}/healthz')
            async with asyncio.timeout(LIMIT_S):
                self.assertEqual(await logged.get(), events.HANDSHAKE_REFUSED)


if __name__ == '__main__':
    unittest.main()
