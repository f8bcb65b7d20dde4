"""Guards connections whose answer turns out to be that of an earlier request."""

import asyncio
import logging
import unittest

from geraniumrail.backends.connections import Connections, ConnectionsConfig
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.engine_client import EngineClient
from geraniumrail.backends.service_call import ServiceCall
from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.errors.backend import BackendError, CrossedAnswerError, RefusedError
from geraniumrail.forwarding.testing import HANG, StandIn, head

LIMIT_S = 20
ANSWER = head('first', body=b'x')
REFUSAL = b'HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n'
STREAM = head('first', body=b'data: {"request_id": "first", "attempt": 1, "offset": 0}\n\n')


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.connections = Connections.from_config(ConnectionsConfig())
        self.addAsyncCleanup(self.connections.close)

    async def started(self, *scripts):
        stand = await StandIn('i-1', *scripts).start()
        self.addAsyncCleanup(stand.stop)
        return stand

    async def call_service(self, stand, request_id):
        call = ServiceCall(
            method='POST', path='/', request_id=request_id, limit_s=LIMIT_S, fresh=False
        )
        return await ServiceClient(self.connections).send(stand.backend(), call)

    async def assert_closed(self, stand):
        async with asyncio.timeout(LIMIT_S):
            await stand.closed.wait()

    async def test_late_copy_at_a_plain_service_ends_the_connection(self):
        """The service went on, and its answer was read as that of the next booking."""
        stand = await self.started([ANSWER], [ANSWER, HANG])
        await self.call_service(stand, 'first')
        with self.assertRaises(CrossedAnswerError):
            await self.call_service(stand, 'second')
        await self.assert_closed(stand)

    async def test_refusal_that_names_no_request_ends_the_connection(self):
        """It may be the copy of an earlier refusal, so nothing may follow it on the connection."""
        stand = await self.started([ANSWER], [REFUSAL, HANG])
        await self.call_service(stand, 'first')
        with self.assertRaises(RefusedError):
            await self.call_service(stand, 'second')
        await self.assert_closed(stand)

    async def test_late_copy_at_an_engine_ends_the_connection(self):
        """The engine went on with a completion that went on elsewhere."""
        stand = await self.started([STREAM, HANG])
        call = EngineCall(
            path='/v1/completions',
            body={},
            request_id='second',
            attempt=1,
            first_token_timeout_s=LIMIT_S,
            between_tokens_timeout_s=LIMIT_S,
        )
        with self.assertRaises(BackendError):
            async for _ in EngineClient(self.connections).stream(stand.backend(), call):
                self.fail('a token of another request')
        await self.assert_closed(stand)

    async def test_accepted_answers_share_a_connection(self):
        """An answer that belongs to its request gives its connection back."""
        stand = await self.started([ANSWER], [head('second', body=b'x')])
        for request_id in ('first', 'second'):
            answer = await self.call_service(stand, request_id)
            self.assertEqual(answer.body, b'x')
        self.assertEqual(stand.connections, 1)

    async def test_copy_of_a_refusal_does_not_answer_the_same_request(self):
        """The service runs a request that comes again behind a copy of the refusal that its
        connection had, so an order that runs was given to another server as well."""
        refused = head('first', '503 Full', b'', 'X-Not-Run: true\r\n')
        stand = await self.started([refused], [ANSWER])
        with self.assertRaises(RefusedError):
            await self.call_service(stand, 'first')
        answer = await self.call_service(stand, 'first')
        self.assertEqual((answer.body, stand.connections), (b'x', 2))

    async def test_refusal_of_an_engine_ends_its_connection(self):
        """An engine's refusal names no request, so a copy of it could refuse any later one."""
        body = b'{"error": {"type": "engine_full"}}'
        refused = head('first', '503 Full', body)
        stand = await self.started([refused], [refused])
        for request_id in ('first', 'second'):
            call = EngineCall(
                path='/v1/completions',
                body={},
                request_id=request_id,
                attempt=1,
                first_token_timeout_s=LIMIT_S,
                between_tokens_timeout_s=LIMIT_S,
            )
            with self.assertRaises(RefusedError):
                async for _ in EngineClient(self.connections).stream(stand.backend(), call):
                    self.fail('a token of a refused request')
        self.assertEqual(stand.connections, 2)


if __name__ == '__main__':
    unittest.main()
