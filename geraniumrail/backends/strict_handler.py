"""A connection on which only a whole answer with a status of HTTP counts."""

import asyncio
from typing import Any

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from geraniumrail.backends.events import INVALID_STATUS
from geraniumrail.core.events import log

INTERIM = range(100, 200)
# Final ones; no client of ours asks for another protocol, which 101 would begin.
_FINAL = range(200, 600)
_SWITCHING = 101


class StrictHandler(ResponseHandler):
    """Refuses statuses that are none, and answers that were reset on the way.

    The HTTP library accepts any three digits, and takes an answer without a length for complete
    whenever its connection ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates the protocol of one connection.

        :param loop: the event loop.
        """
        super().__init__(loop)
        self.address = ''
        self._awaits_final = False  # after an interim answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the address.

        :param transport: the connection.
        """
        peer = transport.get_extra_info('peername')
        self.address = f'{peer[0]}:{peer[1]}' if peer else ''
        super().connection_made(transport)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Breaks the connection off if the status is none.

        :param data: head and body of an answer.
        :param size: of the HTTP library.
        """
        if _is_status(data[0]):
            self._awaits_final = data[0].code in INTERIM
            super().feed_data(data, size)
            return
        self._awaits_final = False
        log(INVALID_STATUS, address=self.address, status=data[0].code)
        self.abort_answer(ClientPayloadError(f'status {data[0].code} is none of HTTP'))

    def data_received(self, data: bytes) -> None:
        """Limits the wait for the final answer, which the library ends with an interim one.

        :param data: the bytes.
        """
        super().data_received(data)
        if self._awaits_final:
            self.start_timeout()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Marks an answer without a length as incomplete if its connection was reset.

        :param exc: why the connection ended; None after an orderly end.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f'the connection was reset: {exc!r}'))
        super().connection_lost(exc)

    def abort_answer(self, failure: ClientPayloadError) -> None:
        """Ends the connection and the answer; the request may have run.

        :param failure: for who reads the answer.
        """
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(failure)
        self.set_exception(failure)
        if self.transport is not None:
            self.transport.abort()


def strict_connector() -> TCPConnector:
    """Returns a connector with a new connection for each call.

    Answers that name no call can't be told from late ones of earlier calls on a kept connection.
    """
    connector = TCPConnector(force_close=True)
    loop = asyncio.get_running_loop()
    # The library has no public way to choose the protocol of its connections.
    connector._factory = lambda: StrictHandler(loop)  # noqa: SLF001
    return connector


def _is_status(message: RawResponseMessage) -> bool:
    is_interim = message.code in INTERIM and message.code != _SWITCHING
    return is_interim or message.code in _FINAL
