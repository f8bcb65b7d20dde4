"""Chooses the connection of each request."""

import contextvars
import functools
from typing import Any

from aiohttp import ClientRequest, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from geraniumrail.backends import events
from geraniumrail.backends.exchange import Exchange, ResendError, WithdrawnError
from geraniumrail.backends.guarded_handler import GuardedHandler
from geraniumrail.backends.path import Path
from geraniumrail.core.events import log

# The HTTP library passes nothing of the caller on to the connector but the request.
EXCHANGE: contextvars.ContextVar[Exchange] = contextvars.ContextVar('exchange')


class ExchangeConnector(TCPConnector):
    """Gives the exchange in `EXCHANGE` one connection, which has not carried its request before.

    aiohttp sends GET, PUT and DELETE requests again when the connection is lost before the answer.
    A plain service's request may not be repeatable whatever its method, so a second connection for
    the same exchange is refused.
    """

    def __init__(self, **params: Any) -> None:
        """Creates the pool of connections.

        :param params: of the HTTP library; `factory`, which makes a `GuardedHandler`; and `path`.
        """
        factory = params.pop('factory')
        self._path: Path = params.pop('path')
        super().__init__(**params)
        # The library has no public way to choose the protocol of its connections.
        self._factory = factory

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Returns an idle connection, or else a new one.

        :param req: the request.
        :param traces: of the HTTP library.
        :param timeout: of the HTTP library.
        :raises ResendError: if the exchange had a connection before.
        :raises WithdrawnError: if its request may not be sent any more.
        """
        exchange = EXCHANGE.get()
        if exchange.connected:
            log(events.RESEND_STOPPED)
            raise ResendError
        while True:
            connection = await super().connect(req, traces, timeout)
            handler = connection.protocol
            if handler is not None and not self._path.suits(handler):
                connection.close()
                continue
            if not isinstance(handler, GuardedHandler) or handler.claim(exchange.request_id):
                break
            log(
                events.CONNECTION_LEFT,
                request=exchange.request_id,
                address=handler.address,
                requests=handler.requests,
            )
            connection.close()
        if exchange.may_send is not None and not exchange.may_send():
            connection.close()
            raise WithdrawnError
        exchange.connected = True
        return connection

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> ResponseHandler:
        direct = functools.partial(super()._create_connection, req, traces, timeout)
        address = f'{req.url.raw_host}:{req.port}'
        return await self._path.connect(address, direct, self._factory)
