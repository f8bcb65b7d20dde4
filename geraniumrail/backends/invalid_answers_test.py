"""Guards all clients against answers that are reset on the way, and statuses that are none.

Another operator's callers got a part of an answer without a length as a whole one, when an engine
reset the connection during a long upload, and a response with status 000.
"""

import asyncio
import contextlib
import logging
import socket
import struct
import threading
import time
import unittest

import uvloop

from geraniumrail.backends.connections import Connections, ConnectionsConfig
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.engine_client import EngineClient
from geraniumrail.backends.engine_order import EngineOrder
from geraniumrail.backends.service_call import ServiceCall
from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.cloud.cloud_client import CloudClient
from geraniumrail.cloud.weight_client import WeightClient
from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.backend import ConnectionLostError
from geraniumrail.errors.cloud import PlatformUnreachableError, WeightsIncompleteError
from geraniumrail.forwarding import testing

LIMIT_S = 20
CALL_LIMIT_S = 8
UPLOAD = b'u' * 4 * 1024 * 1024
LINGER_NONE = struct.pack('ii', 1, 0)  # closing sends a reset
SIGNED = b'X-Request-Id: req-1\r\nX-Sealed: 1\r\n'
STATUSES = (b'000', b'001', b'099', b'101', b'600', b'999', b'2x0', b'20', b'2000', b'-20')
RESET_BODIES = {
    'service': b'part',
    'forwarder': b'part',
    'stream': b'data: {}\n\n',
    'order': b'{"outcome": "accepted"}',
    'cloud': b'{"prices": []}',
    'weights': b'part',
}


class RawServer:
    """Sends one answer on each connection and does not read the rest of its request."""

    def __init__(self, answer, *, reset):
        self.answer, self.reset, self.requests = answer, reset, 0
        self.socket = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.socket.getsockname()[1]}'
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                threading.Thread(target=self.play, args=(connection,), daemon=True).start()

    def play(self, connection):
        with contextlib.suppress(OSError):
            if not connection.recv(1000):
                return
            self.requests += 1
            connection.sendall(self.answer)
            time.sleep(0.05)  # the client reads it before the reset
            if self.reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            else:
                connection.settimeout(LIMIT_S)
                while connection.recv(65536):
                    pass
            connection.close()

    def backend(self):
        return Backend(
            instance='i-1',
            service=testing.SERVICE,
            address=self.address,
            data_centre='shah-alam',
            region='klang-valley',
            version='v1',
            sequence=1,
            lease_s=600,
            load=LoadReport(slots=8),
        )


@contextlib.asynccontextmanager
async def connections():
    opened = Connections.from_config(ConnectionsConfig())
    try:
        yield opened
    finally:
        await opened.close()


async def call_service(server):
    call = ServiceCall(
        method='POST', path='/x', body=UPLOAD, request_id='req-1', key='k', limit_s=CALL_LIMIT_S
    )
    async with connections() as opened:
        return await ServiceClient(opened).send(server.backend(), call)


async def call_stream(server):
    call = EngineCall(
        path='/v1/completions',
        body={'prompt': UPLOAD.decode()},
        request_id='req-1',
        attempt=1,
        first_token_timeout_s=CALL_LIMIT_S,
    )
    async with connections() as opened:
        return [chunk async for chunk in EngineClient(opened).stream(server.backend(), call)]


async def call_order(server):
    order = EngineOrder(term=1, number=1, kind='load_model', name='n')
    async with connections() as opened:
        return await EngineClient(opened).order(server.backend(), order, CALL_LIMIT_S)


async def call_forwarder(server):
    route = testing.route(kind='unsafe', timeout_s=CALL_LIMIT_S)
    forwarder = testing.make_forwarder([route], [server.backend()])
    reply = testing.Reply()
    changes = {'method': 'POST', 'body': UPLOAD}
    await forwarder.serve(testing.inbound(forwarder.parts.clock, **changes), reply)
    await forwarder.parts.connections.close()
    if reply.ended == 'refused' and reply.status in {502, 504}:
        raise ConnectionLostError(backend='i-1', reason='refused as one that may have run')
    return reply.status, reply.content


async def call_cloud(server):
    client = CloudClient.from_url(f'http://{server.address}', CALL_LIMIT_S)
    try:
        return await client.prices()
    finally:
        await client.close()


async def call_weights(server, silence_limit_s=CALL_LIMIT_S):
    client = WeightClient.from_url(f'http://{server.address}', silence_limit_s)
    try:
        return [piece async for piece in client.read('bench-v1')]
    finally:
        await client.close()


CALLS = {
    'service': call_service,
    'forwarder': call_forwarder,
    'stream': call_stream,
    'order': call_order,
    'cloud': call_cloud,
    'weights': call_weights,
}


async def play(name, server):
    """Calls a server; the connections end before the event loop does."""
    try:
        return await asyncio.wait_for(CALLS[name](server), LIMIT_S)
    finally:
        await asyncio.sleep(0.02)


# Each says that the request may have run.
LOST = (ConnectionLostError, PlatformUnreachableError, WeightsIncompleteError)


class InvalidAnswersTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, name, answer, *, reset):
        """Calls a faulty server with both event loops."""
        for run in (asyncio.run, uvloop.run):
            server = RawServer(answer, reset=reset)
            self.addCleanup(server.socket.close)
            with self.subTest(client=name, loop=run.__module__, answer=answer[:20]):
                with self.assertRaises(LOST):
                    run(play(name, server))
                self.assertEqual(server.requests, 1)

    def test_answer_without_length_that_is_reset_is_no_answer(self):
        """The part that had come was taken for the whole, also during an upload."""
        for name, body in RESET_BODIES.items():
            self.check(name, b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n' + body, reset=True)

    def test_status_that_is_none_is_no_answer(self):
        """A response with status 000 reached its caller, and counted as an order carried out."""
        for name, body in RESET_BODIES.items():
            for status in STATUSES:
                size = b'Content-Length: %d\r\n\r\n' % len(body)
                answer = b'HTTP/1.1 ' + status + b' Odd\r\n' + SIGNED + size + body
                self.check(name, answer, reset=False)

    def test_interim_answer_does_not_end_the_limit_of_silence(self):
        """After a status of 199 without a final one, weights were waited for without end."""
        server = RawServer(b'HTTP/1.1 199 Odd\r\n\r\n', reset=False)
        self.addCleanup(server.socket.close)
        with self.assertRaises(PlatformUnreachableError):
            asyncio.run(asyncio.wait_for(call_weights(server, 0.5), LIMIT_S))


if __name__ == '__main__':
    unittest.main()
