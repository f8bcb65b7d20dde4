"""One relayed connection as a transport of the event loop."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Callable
from typing import Any

from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.relay.messages import RelayedBytes, RelayEnded

RELAYED_TO = 'relayed_to'  # extra information of the transport: address of the backend server


class RelayTransport(asyncio.Transport):
    """Passes bytes between a protocol and the stream of records of a helping entry."""

    def __init__(
        self, address: str, protocol: asyncio.Protocol, send: Callable[[object], None]
    ) -> None:
        """Prepares the transport; `start` begins to read.

        :param address: of the backend server, ip:port.
        :param protocol: of the connection.
        :param send: sends a record to the helping entry.
        """
        host, _, port = address.rpartition(':')
        super().__init__({'peername': (host, int(port)), RELAYED_TO: address})
        self._protocol = protocol
        self._send = send
        self._readable = asyncio.Event()
        self._readable.set()
        self._error: Exception | None = None
        self._is_closing = False
        self._task: asyncio.Task[None] | None = None

    def start(self, records: AsyncGenerator[Any, None]) -> None:
        """Reads until the connection ends.

        :param records: of the helping entry.
        """
        self._protocol.connection_made(self)
        self._task = asyncio.create_task(self._read(records), name='relayed-connection')
        self._task.add_done_callback(self._ended)

    def is_closing(self) -> bool:
        """Returns whether the connection is closed or closing."""
        return self._is_closing

    def write(self, data: Any) -> None:
        """Sends bytes; what waits is bounded by the bodies of the requests.

        :param data: bytes-like.
        """
        if not self._is_closing:
            self._send(RelayedBytes(content=bytes(data)))

    def close(self) -> None:
        """Ends the connection; the helping entry closes its side."""
        if not self._is_closing:
            self._is_closing = True
            if self._task is not None:
                self._task.cancel()

    def abort(self) -> None:
        """Ends the connection at once."""
        self.close()

    def pause_reading(self) -> None:
        """Passes nothing on until `resume_reading`."""
        self._readable.clear()

    def resume_reading(self) -> None:
        """Goes on after a pause."""
        self._readable.set()

    def is_reading(self) -> bool:
        """Returns whether bytes are passed on."""
        return self._readable.is_set() and not self._is_closing

    def get_write_buffer_size(self) -> int:
        """Returns 0: the link takes what is sent."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Does nothing: the protocol is never paused.

        :param high: not used.
        :param low: not used.
        """

    async def _read(self, records: AsyncGenerator[Any, None]) -> None:
        # An answer is complete only if the backend server is known to have ended it in order.
        self._error = ConnectionResetError('the relay broke off')
        async with contextlib.aclosing(records):
            with contextlib.suppress(GeraniumrailError):
                async for record in records:
                    await self._readable.wait()
                    if isinstance(record, RelayEnded):
                        self._take_end(record)
                        return
                    if isinstance(record, RelayedBytes):
                        self._protocol.data_received(record.content)

    def _take_end(self, record: RelayEnded) -> None:
        if record.is_reset:
            self._error = ConnectionResetError('the backend server reset the connection')
            return
        self._error = None
        self._protocol.eof_received()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._is_closing = True
        if task.cancelled():
            self._protocol.connection_lost(None)
            return
        self._protocol.connection_lost(task.exception() or self._error)
