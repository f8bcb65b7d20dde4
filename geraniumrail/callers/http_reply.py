"""Sends answers to callers."""

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.forwarding.inbound import Headers

PART_BYTES = 64 * 1024  # of a large answer


class HttpReply:
    """Implements `forwarding.reply.Reply`."""

    def __init__(self, request: web.BaseRequest, *, closes: bool) -> None:
        """Prepares the answer.

        :param request: the request.
        :param closes: the connection takes no request after this one.
        """
        self._request = request
        self._closes = closes
        self._begun = False
        self.response: web.StreamResponse = web.Response(status=500)

    @property
    def started(self) -> bool:
        """Whether an answer has begun, of which a part may be on its way."""
        return self._begun

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        :param body: whole body.
        """
        if len(body) <= PART_BYTES:
            self.response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
            await self._send_head(self.response)
            await self.response.write_eof()
            return
        self.response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        self.response.content_length = len(body)
        await self._send_head(self.response)
        # The transport copies what the caller has not taken.
        for start in range(0, len(body), PART_BYTES):
            await self.response.write(body[start : start + PART_BYTES])
        await self.response.write_eof()

    async def refuse(self, error: GeraniumrailError) -> None:
        """Answers a failure of the system's own.

        :param error: the failure.
        """
        headers = [('Content-Type', 'application/json')]
        retry_after_s = error.fields.get('retry_after_s')
        if retry_after_s is not None:
            headers.append(('Retry-After', f'{float(str(retry_after_s)):.3f}'))
        await self.answer(error.status, tuple(headers), msgspec.json.encode(error.to_body()))

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a stream.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        """
        self.response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        await self._send_head(self.response)

    async def write(self, content: bytes) -> None:
        """Sends a part of a stream.

        :param content: whole events.
        """
        await self.response.write(content)

    async def finish(self) -> None:
        """Ends a stream as complete."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Breaks the connection, so that the caller sees that the answer is not complete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()

    async def _send_head(self, response: web.StreamResponse) -> None:
        self._begun = True
        if self._closes:
            response.force_close()
        await response.prepare(self._request)
