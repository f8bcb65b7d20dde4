"""A connection of a client that can't send without end."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestPayloadError, _ErrInfo

from geraniumrail.callers.client_limits import (
    CONNECTIONS,
    FRAMING,
    HEAD,
    MALFORMED,
    NO_ROOM,
    ClientLimits,
)
from geraniumrail.callers.head_budget import HeldHead
from geraniumrail.errors.headers import HeadersTooLargeError
from geraniumrail.errors.request import InvalidRequestError, NotRunError, RequestError

# By which chunk sizes, extensions and trailers may exceed their body: a chunk of one byte has five
# bytes of framing. What exceeds it are extensions and trailers.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_FACTOR = 5
# Of a body that no handler reads; the HTTP library takes twice as much before it pauses.
UNREAD_BYTES = 16 * 1024
# Requests that wait behind the one in progress; the connection is not read beyond them.
MAX_WAITING_REQUESTS = 4
# A client that is refused for room, and did nothing wrong, finds some after the heads that arrive.
RETRY_S = 0.5
_REASON_CHARS = 200
_MALFORMED_STATUS = 400
_LINE_ENDS = b'\r\n'


class GuardedConnection(web.RequestHandler):
    """Counts what is not part of a request's body, and refuses too much of it.

    The parser collects a line before it checks its size, and a failed one keeps all that arrives
    later. Each piece is therefore counted here, and after a refusal nothing is parsed any more.
    Requests that arrived whole before a refusal are answered first.
    """

    def __init__(
        self, manager: web.Server, loop: asyncio.AbstractEventLoop, **options: Any
    ) -> None:
        """Creates the protocol of one connection.

        :param manager: the server.
        :param loop: the event loop.
        :param options: `clients` and `head_timeout`, and those of `web.RequestHandler`.
        """
        self._clients: ClientLimits = options.pop('clients')
        super().__init__(manager, loop=loop, read_bufsize=UNREAD_BYTES, **options)
        self._parser = HttpRequestParser(
            self,
            loop,
            UNREAD_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get('auto_decompress', True),
            max_msg_queue_size=MAX_WAITING_REQUESTS,
        )
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS // 2
        self.has_served = False
        self._source = ''
        self._held = HeldHead('', self._give_up)
        self._is_refused = False
        self._body: StreamReader = EMPTY_PAYLOAD  # of the last request whose head has arrived
        self._body_bytes = 0
        self._framing_bytes = 0  # of that body
        self._pending_bytes = 0  # since a head or a part of a body was complete
        self._waiting_bytes = 0  # of requests that no handler has taken
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request has arrived that is not answered."""
        return not (self._request_in_progress or self._messages)

    def max_head_bytes(self) -> int:
        """Returns the largest request line and headers together."""
        return self.max_line_size + self.max_field_size

    def head_timeout_s(self) -> float:
        """Returns how long a head that has begun may take, seconds."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection.

        :param transport: the connection.
        """
        peer = transport.get_extra_info('peername')
        self._source = peer[0] if isinstance(peer, tuple) else ''
        self._held.source = self._source
        super().connection_made(transport)
        self._clients.connections.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Returns what was counted.

        :param exc: why the connection ended.
        """
        self._clients.connections.close(self)
        self._forget()
        super().connection_lost(exc)

    def close_for_room(self) -> None:
        """Ends an idle connection in favour of a new one."""
        self._note(CONNECTIONS)
        self._is_refused = True
        self.force_close()

    def data_received(self, data: bytes) -> None:
        """Parses a piece, and refuses what exceeds the limits.

        :param data: the bytes; none when the parser goes on with earlier ones.
        """
        if self._is_refused or self._parser is None:
            return
        self._clients.connections.touch(self)
        requests = self._request_count
        super().data_received(data)
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            failure, _ = self._messages.pop()
            self._request_count -= 1
            self._refuse(MALFORMED, _typed(failure.exc))
            return
        if self._request_count > requests:
            self._begin_body(self._messages[-1][1])
            self._pending_bytes = 0
        else:
            self._pending_bytes += len(data)
        self._waiting_bytes = self._waiting_bytes + len(data) if self._messages else 0
        self._check_body(len(data))
        self._check_head(data)

    async def _handle_request(self, *request: Any) -> tuple[web.StreamResponse, bool]:
        self.has_served = True
        if not self._messages:
            self._waiting_bytes = 0
            self._count()
        try:
            return await super()._handle_request(*request)
        finally:
            # Idle from now on; a long answer would count as the longest idle time otherwise.
            if self.transport is not None:
                self._clients.connections.touch(self)

    def _begin_body(self, body: StreamReader) -> None:
        self._body = body
        self._body_bytes = 0
        self._framing_bytes = 0

    def _check_body(self, count: int) -> None:
        """Counts the framing of a body that is not complete."""
        if self._body is EMPTY_PAYLOAD:
            return
        if self._body.is_eof():
            self._pending_bytes = 0
            self._body = EMPTY_PAYLOAD
            return
        grown = self._body.total_bytes - self._body_bytes
        self._body_bytes += grown
        self._framing_bytes += count - grown
        if grown:
            self._pending_bytes = 0
        if self._framing_bytes > MAX_FRAMING_BYTES + FRAMING_FACTOR * self._body_bytes:
            self._refuse(FRAMING, InvalidRequestError(reason='chunk framing'))

    def _check_head(self, data: bytes) -> None:
        """Bounds what is not complete, in size and time."""
        if self._is_refused:
            return
        if self._pending_bytes > self.max_head_bytes():
            self._refuse(HEAD, HeadersTooLargeError())
            return
        if not self._pending_bytes:
            self._stop_timer()
        elif self._head_timer is None and self._body is EMPTY_PAYLOAD and data.strip(_LINE_ENDS):
            self._head_timer = self._loop.call_later(self.head_timeout_s(), self._end_head)
        self._count()

    def _count(self) -> None:
        if not self._is_refused:
            self._clients.heads.update(self._held, self._pending_bytes + self._waiting_bytes)

    def _give_up(self) -> None:
        failure = NotRunError(reason='no room for its head', retry_after_s=RETRY_S)
        self._refuse(NO_ROOM, failure)

    def _end_head(self) -> None:
        """Closes a connection whose head takes too long, unless an answer is under way."""
        self._head_timer = None
        if self.is_idle:
            self.force_close()
        else:
            self._head_timer = self._loop.call_later(self.head_timeout_s(), self._end_head)

    def _refuse(self, reason: str, failure: RequestError) -> None:
        """Answers what has not arrived whole with a failure and reads no more."""
        self._note(reason)
        self._is_refused = True
        self._lingering_time = 0  # the rest of a body is not read
        self._forget()
        self._parser = None  # with what it has collected
        if self._body is not EMPTY_PAYLOAD and not self._body.is_eof():
            self._body.set_exception(failure)
        else:
            refused = _ErrInfo(status=failure.status, exc=failure, message=str(failure))
            self._messages.append((refused, EMPTY_PAYLOAD))
            self._request_count += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._pause_reading_for_buffer()

    def _note(self, reason: str) -> None:
        self._clients.note_refused(reason, self._source, self._pending_bytes)

    def _forget(self) -> None:
        self._stop_timer()
        self._clients.heads.update(self._held, 0)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _typed(error: BaseException) -> RequestError:
    if isinstance(error, LineTooLong):
        return HeadersTooLargeError()
    # Later lines of the parser's message contain the whole piece.
    message = getattr(error, 'message', '') or repr(error)
    reason = message.splitlines()[0][:_REASON_CHARS]
    return InvalidRequestError(reason=f'malformed HTTP: {reason}')
