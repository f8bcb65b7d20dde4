"""A server whose limits come from the configuration in force."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.failures import failure_response
from geraniumrail.callers.guarded_connection import GuardedConnection
from geraniumrail.callers.intake import Intake, bounded
from geraniumrail.core import header_bytes
from geraniumrail.core.byte_budget import Hold
from geraniumrail.deployment.http_limits import HttpLimits
from geraniumrail.errors.headers import HeadersTooLargeError
from geraniumrail.errors.request import BodyTooLargeError, RequestError, SlowRequestError
from geraniumrail.forwarding.body_budget import ArrivingBody

Limits = Callable[[], HttpLimits]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Of a body whose request names no time; longer than any that a caller waits.
BODY_LIMIT_S = 30.0
_COLON_AND_END = 4  # of a header line: `: ` and the end of the line


class LimitedConnection(GuardedConnection):
    """Closed if its first request does not begin, or its headers do not end, in time.

    The server's own limit of idle connections holds for the later requests.
    """

    def max_head_bytes(self) -> int:
        """Returns the largest request line and headers together."""
        return self.max_line_size + self._manager.limits().header_bytes

    def head_timeout_s(self) -> float:
        """Returns how long a head that has begun may take, seconds."""
        return self._manager.limits().header_timeout_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the first bytes.

        :param transport: the connection.
        """
        super().connection_made(transport)
        limit_s = self._manager.limits().idle_timeout_s
        self._has_begun = False
        self._first_timer = self._loop.call_later(limit_s, self._check_first)

    def data_received(self, data: bytes) -> None:
        """Waits for the end of the headers.

        :param data: the bytes.
        """
        if not self._has_begun:
            self._has_begun = True
            self._first_timer.cancel()
            limit_s = self._manager.limits().header_timeout_s
            self._first_timer = self._loop.call_later(limit_s, self._check_first)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the wait.

        :param exc: why the connection ended.
        """
        self._first_timer.cancel()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that could not be read.

        :param request: what is known of it.
        :param status: HTTP status.
        :param exc: what the library met.
        :param message: text that the library would answer.
        """
        if not isinstance(exc, RequestError):
            return super().handle_error(request, status, exc, message)
        response = failure_response(exc)
        response.force_close()
        return response

    def _check_first(self) -> None:
        if not self._request_count:
            self.force_close()


class LimitedServer(web.Server):
    """Makes the connections of one listening address."""

    def __init__(
        self, handler: Handler, limits: Limits, clients: ClientLimits, **options: object
    ) -> None:
        """Prepares the server.

        :param handler: answers the requests.
        :param limits: returns the limits in force.
        :param clients: limits of all connections.
        :param options: as for `web.Server`.
        """
        header_bytes.install()
        super().__init__(handler, **options)
        self.limits = limits
        self._clients = clients
        self._make_intake = bounded(self._make_connection)

    def __call__(self) -> Intake:
        """Returns the protocol of a new connection."""
        return self._make_intake()

    def _make_connection(self) -> LimitedConnection:
        return LimitedConnection(self, loop=self._loop, clients=self._clients, **self._kwargs)


async def read_request(
    request: web.BaseRequest, limits: HttpLimits, limit_s: float | None, body: ArrivingBody
) -> bytes:
    """Returns the whole body.

    :param request: the request.
    :param limits: in force.
    :param limit_s: how long the caller waits for its answer, seconds.
    :param body: counts the body.
    :raises HeadersTooLargeError: if the headers are larger than allowed.
    :raises BodyTooLargeError: if the body is.
    :raises NotRunError: if other bodies leave no room for it.
    :raises SlowRequestError: if it does not arrive in time, however steadily it comes.
    """
    size = sum(len(name) + len(text) + _COLON_AND_END for name, text in request.raw_headers)
    if size > limits.header_bytes:
        raise HeadersTooLargeError
    if not request.body_exists:
        return b''
    allowed_s = min(BODY_LIMIT_S, limit_s or BODY_LIMIT_S)
    return await read_counted(request, limits.body_bytes, allowed_s, body)


async def read_counted(
    request: web.BaseRequest, limit_bytes: int, limit_s: float, body: ArrivingBody
) -> bytes:
    """Returns the whole body.

    :param request: the request.
    :param limit_bytes: largest body.
    :param limit_s: limit in seconds.
    :param body: counts the body.
    :raises BodyTooLargeError: if it is larger.
    :raises NotRunError: if other bodies leave no room for it.
    :raises SlowRequestError: if it does not arrive in time.
    """
    if (request.content_length or 0) > limit_bytes:
        raise BodyTooLargeError(limit_bytes=limit_bytes)
    try:
        async with body.reading(limit_s) as hold:
            return await _read_body(request, limit_bytes, hold)
    except TimeoutError as error:
        raise SlowRequestError(limit_s=limit_s) from error


async def _read_body(request: web.BaseRequest, limit_bytes: int, hold: Hold) -> bytes:
    parts = []
    size = 0
    try:
        while part := await request.content.readany():
            size += len(part)
            if size > limit_bytes:
                raise BodyTooLargeError(limit_bytes=limit_bytes)
            parts.append(part)
            hold.add(len(part))
            await asyncio.sleep(0)  # other requests go on beside a body that is already here
        return b''.join(parts)
    finally:
        parts.clear()  # the traceback of a failure would keep them
