"""Connections of callers: faults of HTTP itself are answered like all others, as typed JSON."""

import asyncio

from aiohttp import web

from geraniumrail.callers import events
from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.failures import failure_response
from geraniumrail.callers.guarded_connection import GuardedConnection
from geraniumrail.callers.intake import Intake, bounded
from geraniumrail.core.events import log
from geraniumrail.errors.request import InvalidRequestError, RequestError

_REASON_CHARS = 200
# Of the head of a request where no other limit is set.
HEADER_TIMEOUT_S = 3.0
HEADER_BYTES = 16384


class Connection(GuardedConnection):
    """One connection; closed if the first request's headers do not arrive in time."""

    def head_timeout_s(self) -> float:
        """Returns how long a head that has begun may take, seconds."""
        return self._manager.header_timeout_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the limit of the headers.

        :param transport: the connection.
        """
        super().connection_made(transport)
        limit_s = self._manager.header_timeout_s
        self._headers_timer = self._loop.call_later(limit_s, self._check_headers)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the limit of the headers.

        :param exc: why the connection ended.
        """
        self._headers_timer.cancel()
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
        :param status: HTTP status that the library would answer.
        :param exc: what the library met.
        :param message: text that the library would answer.
        :raises ConnectionError: if a part of the answer was sent before.
        """
        if request.writer.output_size > 0:
            raise ConnectionError('a part of the answer was sent before')
        error = _typed(exc, message)
        log(events.REQUEST_FAILED, path='', type=error.type_name, reason=str(error))
        response = failure_response(error)
        response.force_close()
        return response

    def _check_headers(self) -> None:
        if not self._request_count:
            self.force_close()


class ConnectionServer(web.Server):
    """Makes the connections of one listening address."""

    def __init__(self, made: web.Server, header_timeout_s: float, clients: ClientLimits) -> None:
        """Takes over the handler and options of a server.

        :param made: the server that the library made.
        :param header_timeout_s: limit of a request's headers, in seconds.
        :param clients: limits of all connections.
        """
        super().__init__(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,  # noqa: SLF001
        )
        self.header_timeout_s = header_timeout_s
        self._clients = clients
        self._make_intake = bounded(self._make_connection)

    def __call__(self) -> Intake:
        """Returns the protocol of a new connection."""
        return self._make_intake()

    def _make_connection(self) -> Connection:
        return Connection(self, loop=self._loop, clients=self._clients, **self._kwargs)


class ConnectionRunner(web.AppRunner):
    """Runs an application with `Connection`."""

    def __init__(
        self,
        application: web.Application,
        clients: ClientLimits,
        header_timeout_s: float = HEADER_TIMEOUT_S,
        **options: object,
    ) -> None:
        """Prepares the runner.

        :param application: the application.
        :param clients: limits of all connections.
        :param header_timeout_s: limit of a request's headers, in seconds.
        :param options: as for `web.AppRunner`.
        """
        super().__init__(application, **{'max_field_size': HEADER_BYTES, **options})
        self._header_timeout_s = header_timeout_s
        self._clients = clients

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return ConnectionServer(made, self._header_timeout_s, self._clients)


def _typed(error: BaseException | None, message: str | None) -> RequestError:
    if isinstance(error, RequestError):
        return error
    reason = (message or repr(error)).splitlines()[0][:_REASON_CHARS]
    return InvalidRequestError(reason=f'malformed HTTP: {reason}')
