"""Reads from connections of clients in small pieces."""

import asyncio
from collections.abc import Callable

from aiohttp import web

# A read of the event loop takes up to 256 KiB and is repeated up to 32 times before any handler
# runs; a piece is counted, and may pause or refuse the connection, before the next one is read.
PIECE_BYTES = 16 * 1024


class Intake(asyncio.BufferedProtocol):
    """Passes what arrives on to the protocol of the HTTP library.

    The transports read into the buffer of a `BufferedProtocol`, which bounds a read. The buffer is
    shared: a piece is copied and handled before the next read begins.
    """

    def __init__(self, protocol: web.RequestHandler, buffer: bytearray) -> None:
        """Connects the protocol.

        :param protocol: of the HTTP library.
        :param buffer: for one read.
        """
        self._protocol = protocol
        self._view = memoryview(buffer)
        self.connection_made = protocol.connection_made
        self.connection_lost = protocol.connection_lost
        self.eof_received = protocol.eof_received
        self.pause_writing = protocol.pause_writing
        self.resume_writing = protocol.resume_writing

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next piece is read to.

        :param sizehint: not used.
        """
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a piece on.

        :param nbytes: its length.
        """
        self._protocol.data_received(bytes(self._view[:nbytes]))


def bounded(make: Callable[[], web.RequestHandler]) -> Callable[[], Intake]:
    """Returns a factory of protocols that read in small pieces.

    :param make: makes the protocol of one connection.
    """
    buffer = bytearray(PIECE_BYTES)
    return lambda: Intake(make(), buffer)
