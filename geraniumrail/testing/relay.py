"""A TCP relay whose open connections can go silent without closing."""

import asyncio
import contextlib

PIECE_BYTES = 65536


class Relay:
    """Listens on the loopback address and passes bytes on to one target."""

    def __init__(self, target: str) -> None:
        """Use `start`.

        :param target: ip:port.
        """
        self.target = target
        self.address = ''
        self.accepted = 0
        self.muted = 0  # how many of the next connections are silent from the start
        self._tasks: set[asyncio.Task[None]] = set()
        self._silent: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @classmethod
    async def start(cls, target: str = '', address: str = '127.0.0.1:0') -> 'Relay':
        """Starts to listen.

        :param target: ip:port; may be set later.
        :param address: where to listen.
        """
        relay = cls(target)
        host, _, port = address.rpartition(':')
        relay._server = await asyncio.start_server(relay._accept, host, int(port))
        relay.address = '{}:{}'.format(*relay._server.sockets[0].getsockname()[:2])
        return relay

    def silence(self) -> None:
        """Lets the open connections go silent; later ones work."""
        self._silent |= self._tasks

    async def close(self) -> None:
        """Closes everything."""
        if self._server is not None:
            self._server.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        if self.muted:
            self.muted -= 1
            self._silent.add(task)
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            self._tasks.discard(task)
            return
        try:
            # A cancelled task would be reported as a failure of the stream's callback.
            with contextlib.suppress(asyncio.CancelledError):
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._pass_on(reader, far_writer, task))
                    group.create_task(self._pass_on(far_reader, writer, task))
        finally:
            self._tasks.discard(task)
            for each in (writer, far_writer):
                each.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: asyncio.Task[None],
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(PIECE_BYTES):
                if connection in self._silent:
                    await asyncio.Event().wait()
                writer.write(piece)
                await writer.drain()
        if connection in self._silent:
            await asyncio.Event().wait()
        writer.close()
