"""An answer that keeps its connection until its owner has accepted it."""

from typing import Any

from aiohttp import ClientResponse
from aiohttp.connector import Connection

from geraniumrail.core.byte_budget import Hold


class HeldResponse(ClientResponse):
    """The connection is reused only if `accept` was called and the answer has ended.

    The HTTP library gives a connection back as soon as an answer has ended, which may be before the
    owner knows whether it answers the request. Closing the answer then has no effect, and the
    server goes on with a request whose answer will be read as that of the next one.
    """

    def __init__(self, *args: Any, **params: Any) -> None:
        """Starts without trust.

        :param args: of the HTTP library.
        :param params: of the HTTP library.
        """
        super().__init__(*args, **params)
        self._accepted = False
        self._hold: Hold | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Reads the head; the bytes of the answer count until `close`.

        :param connection: of the HTTP library.
        """
        self._hold = connection.protocol.take_hold()
        return await super().start(connection)

    async def read(self) -> bytes:
        """Returns the whole body."""
        if self._body is None:
            parts: list[bytes] = []
            try:
                while part := await self.content.readany():
                    parts.append(part)
                self._body = b''.join(parts)
            except BaseException:
                self.close()
                raise
            finally:
                parts.clear()  # the traceback of a failure would keep them
        return await super().read()

    @property
    def held_bytes(self) -> int:
        """Bytes that have arrived and were not passed on."""
        return 0 if self._hold is None else self._hold.size

    def pass_on(self, count: int) -> None:
        """Notes that a part of a stream is not kept any longer.

        :param count: bytes, as `held_bytes` told them when the part was read.
        """
        if self._hold is not None:
            self._hold.give_back(count)

    def close(self) -> None:
        """Ends the answer and returns its bytes to the budget."""
        super().close()
        if self._hold is not None:
            self._hold.end()

    def accept(self) -> None:
        """Notes that the answer belongs to the request."""
        self._accepted = True
        if self.content.is_eof():
            self._response_eof()

    def _response_eof(self) -> None:
        if self._accepted:
            super()._response_eof()

    def _release_connection(self) -> None:
        if self._accepted:
            super()._release_connection()
        elif self._connection is not None:
            self._connection.close()
            self._connection = None
