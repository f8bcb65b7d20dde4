"""Holds connections to backend servers for entries that are cut off from them."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

from geraniumrail.backends.connections import ConnectionsConfig, make_socket
from geraniumrail.config.address import split_address
from geraniumrail.core.events import log
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.errors.link import RelayRefusedError
from geraniumrail.links.server import LinkServer
from geraniumrail.relay import events
from geraniumrail.relay.messages import RelayedBytes, RelayEnded, RelayOpened
from geraniumrail.relay.reach import Reach

# Bounds the memory and the descriptors of a helper; the smallest machines of entries have 160 MB.
MAX_CONNECTIONS = 128
READ_BYTES = 16384


class RelayServer:
    """Passes bytes and decides nothing: which request goes where is up to the other entry.

    It connects to backend servers only, and never through another entry, so there are no loops.
    """

    def __init__(self, view: ClusterView, reach: Reach, config: ConnectionsConfig) -> None:
        """Connects the parts.

        :param view: knows the backend servers.
        :param reach: tells whether this entry has a path itself.
        :param config: limits of connections.
        """
        self.is_leaving = False
        self.connections = 0
        self._view = view
        self._reach = reach
        self._config = config

    def register(self, server: LinkServer) -> None:
        """Handles the streams of other entries.

        :param server: the links of this process.
        """
        server.register_relay(self.relay)

    async def relay(self, records: AsyncIterator[Any]) -> AsyncIterator[object]:
        """Yields what a backend server sends on a new connection.

        :param records: of the other entry; the first one names the backend server.
        :raises RelayRefusedError: if there is no connection; nothing was sent.
        """
        address = (await anext(records)).address
        self._check(address)
        reader, writer = await self._connect(address)
        with self._held(address, writer):
            sender = asyncio.create_task(_send(records, writer), name='relay-sender')
            try:
                yield RelayOpened()
                async for record in _received(reader):
                    yield record
            finally:
                sender.cancel()

    @contextlib.contextmanager
    def _held(self, address: str, writer: asyncio.StreamWriter) -> Iterator[None]:
        self.connections += 1
        try:
            yield
        finally:
            writer.transport.abort()
            self.connections -= 1
        log(events.RELAYED, address=address, connections=self.connections)

    def _check(self, address: str) -> None:
        reason = ''
        if self._reach.is_cut_off:
            reason = 'this entry is cut off as well'
        elif self.is_leaving or not self._view.holds_lease():
            reason = 'this entry takes no new work'
        elif self.connections >= MAX_CONNECTIONS:
            reason = 'too many relayed connections'
        elif all(each.address != address for each in self._view.backends_by_instance.values()):
            reason = 'no backend server is known there'
        if reason:
            raise RelayRefusedError(address=address, reason=reason)

    async def _connect(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        try:
            async with asyncio.timeout(self._config.connect_timeout_s):
                found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
                made = make_socket(self._config, found[0])
                with contextlib.ExitStack() as stack:
                    stack.callback(made.close)
                    made.setblocking(False)
                    await loop.sock_connect(made, found[0][-1])
                    opened = await asyncio.open_connection(sock=made, limit=READ_BYTES)
                    stack.pop_all()
                    return opened
        except (OSError, TimeoutError) as error:
            raise RelayRefusedError(address=address, reason=repr(error)) from error


async def _send(records: AsyncIterator[Any], writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):  # the reader sees the same end
        async for record in records:
            if isinstance(record, RelayedBytes):
                writer.write(record.content)
                await writer.drain()


async def _received(reader: asyncio.StreamReader) -> AsyncIterator[object]:
    try:
        while content := await reader.read(READ_BYTES):
            yield RelayedBytes(content=content)
    except OSError:
        yield RelayEnded(is_reset=True)
        return
    yield RelayEnded()
