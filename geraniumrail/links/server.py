"""Serves the links of one daemon."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc

from geraniumrail.core.refused import Refused
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.link import UnknownCallError
from geraniumrail.links import wire
from geraniumrail.links.method import OPTIONS, SERVICE
from geraniumrail.links.tls import LinkTls

CallHandler = Callable[[Any], Awaitable[object]]
FollowHandler = Callable[[AsyncIterator[Any]], AsyncIterator[object]]
STOP_GRACE_S = 0.5


class LinkServer:
    """Dispatches records to the handler of their type."""

    def __init__(self, listen: str, tls: LinkTls | None = None) -> None:
        """Prepares the server.

        :param listen: ip:port; port 0 takes a free one.
        :param tls: certificate, key and authority for mutual TLS.
        """
        self.address = listen
        self._tls = tls
        self._handlers_by_type: dict[type, CallHandler] = {}
        self._follow: FollowHandler | None = None
        self._relay: FollowHandler | None = None
        self._server: grpc.aio.Server | None = None

    def register(self, request: type, handler: CallHandler) -> None:
        """Handles one type of record.

        :param request: the record class.
        :param handler: returns the reply record, or raises a typed failure.
        """
        self._handlers_by_type[request] = handler

    def register_follow(self, handler: FollowHandler) -> None:
        """Handles the streams of followers.

        :param handler: gets the reports and yields the updates.
        """
        self._follow = handler

    def register_relay(self, handler: FollowHandler) -> None:
        """Handles the streams of relayed connections.

        :param handler: gets the records of one connection and yields those of the other side.
        """
        self._relay = handler

    async def start(self) -> None:
        """Listens."""
        self._server = grpc.aio.server(options=OPTIONS)
        methods = {
            'Call': grpc.unary_unary_rpc_method_handler(self._call, wire.decode, wire.encode),
            'Follow': self._stream_method(lambda: self._follow),
            'Relay': self._stream_method(lambda: self._relay),
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, methods)
        self._server.add_generic_rpc_handlers((generic,))
        if self._tls is None:
            port = self._server.add_insecure_port(self.address)
        else:
            port = self._server.add_secure_port(self.address, self._tls.server_credentials())
        self.address = f'{self.address.rpartition(":")[0]}:{port}'
        await self._server.start()

    async def stop(self) -> None:
        """Ends the open calls and stops listening."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)

    async def _call(self, request: object, context: grpc.aio.ServicerContext) -> object:
        handler = self._handlers_by_type.get(type(request))
        try:
            if handler is None:
                raise UnknownCallError(address=self.address, name=type(request).__name__)
            return await handler(request)
        except GeraniumrailError as error:
            return Refused.from_error(error)

    def _stream_method(self, registered: Callable[[], FollowHandler | None]) -> Any:
        async def stream(  # noqa: WPS430 - gRPC takes a generator function
            records: AsyncIterator[object], context: grpc.aio.ServicerContext
        ) -> AsyncIterator[object]:
            handler = registered()
            if handler is None:
                return
            try:
                async for update in handler(records):
                    yield update
            except GeraniumrailError as error:
                yield Refused.from_error(error)

        return grpc.stream_stream_rpc_method_handler(stream, wire.decode, wire.encode)
