"""Guards answers that come behind the beginning of another one, cut short."""

import asyncio
import dataclasses
import logging
import unittest

from geraniumrail.forwarding import testing
from geraniumrail.forwarding.testing import StandIn, head

LIMIT_S = 20
SAVED_RETRIES = 10  # more than one request takes
FIRST, SECOND = 'req-1', 'req-2'
COPIES = {
    'refused': head(FIRST, '503 Full', b'', 'X-Not-Run: 1\r\n'),
    'refused, name last': (
        b'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: req-1\r\nContent-Length: 0\r\n\r\n'
    ),
    'misdirected': head(FIRST, '421 Misdirected', b''),
    'failed': head(FIRST, '500 Oops', b'no'),
}


class CuttingStandIn(StandIn):
    """Runs all requests, and sends `beginning` before the first answer to the second one."""

    def __init__(self, beginning):
        super().__init__('i-1')
        self.beginning = beginning
        self.runs = []

    async def _play(self, script, writer, reader):
        lines = self.requests[-1]
        request_id = next(ln for ln in lines if ln.startswith('X-Request-Id')).split()[1]
        begun = self.beginning if request_id == SECOND and SECOND not in self.runs else b''
        self.runs.append(request_id)
        writer.write(begun + head(request_id, body=b'x'))


class CutCopyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def serve_second(self, beginning):
        """Returns the status of the second request on a connection, and how often it ran."""
        stand = await CuttingStandIn(beginning).start()
        backends = [
            dataclasses.replace(stand.backend(), instance=f'i-{number}') for number in range(3)
        ]
        forwarder = testing.make_forwarder([testing.route(kind='unsafe', attempts=3)], backends)
        parts = forwarder.parts
        parts.retries.record_request(testing.SERVICE, SAVED_RETRIES, parts.clock.now())
        for request_id in (FIRST, SECOND):
            reply = testing.Reply()
            async with asyncio.timeout(LIMIT_S):
                await forwarder.serve(testing.inbound(parts.clock, request_id=request_id), reply)
        await parts.connections.close()
        await stand.stop()
        return reply.status, stand.runs.count(SECOND)

    async def test_status_of_a_cut_copy_is_not_joined_to_the_next_answer(self):
        """A server ended a late copy of a refusal within its head and went on with the answer that
        was due: the request was taken for refused, and ran again (TWICE)."""
        wrong = {}
        for name, copy in COPIES.items():
            whole = copy.index(b'\r\n\r\n')
            for cut in range(whole):
                found = await self.serve_second(copy[:cut])
                if found not in ((200, 1), (502, 1)):
                    wrong[name, copy[:cut]] = found
        self.assertEqual(wrong, {})


if __name__ == '__main__':
    unittest.main()
