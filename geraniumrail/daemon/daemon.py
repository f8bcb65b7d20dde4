"""Runs the roles of a settings file until a signal."""

import asyncio
import random
import signal

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.server import HttpServer
from geraniumrail.config.daemon import CONTROL, ENTRY, DaemonConfig
from geraniumrail.config.key_ring import KeyRing
from geraniumrail.core.clock import SystemClock
from geraniumrail.core.events import log
from geraniumrail.daemon import events
from geraniumrail.daemon.gauges import Gauges
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.server import LinkServer
from geraniumrail.links.tls import LinkTls
from geraniumrail.metrics.metrics import Metrics
from geraniumrail.tasks.supervise import supervise


class Daemon:
    """One process; imports the code of a role only if the role is configured."""

    def __init__(self, config: DaemonConfig) -> None:
        """Builds the roles; an event loop must be running.

        :param config: the settings file.
        :raises LogDamagedError: if the data folder is damaged.
        """
        self._config = config
        self._clock = SystemClock()
        tls = _link_tls(config)
        self._links = LinkPool(tls)
        self._link_server = LinkServer(config.peers.listen, tls)
        self._key_ring = KeyRing.from_config(config)
        self._clients = ClientLimits.from_machine()
        self._metrics = Metrics.from_config(config, self._clients)
        self._servers: list[HttpServer] = []
        self._control = self._build_control() if CONTROL in config.roles else None
        self._entry = self._build_entry() if ENTRY in config.roles else None
        self._gauges_task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, config: DaemonConfig) -> 'Daemon':
        """Creates the process of a settings file.

        :param config: the settings file.
        """
        return cls(config)

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then stops without cutting off a request."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self.start()
        await stop.wait()
        log(events.STOPPING, instance=self._config.instance)
        await self.stop()
        log(events.STOPPED, instance=self._config.instance)

    async def start(self) -> None:
        """Starts the servers and the roles."""
        await self._link_server.start()
        if self._control is not None:
            await self._control.start()
        if self._entry is not None:
            await self._entry.start()
        for server in self._servers:
            await server.start()
        await self._metrics.start()
        gauges = Gauges(self._metrics.instruments, self._entry, self._control, self._clients)
        self._gauges_task = asyncio.create_task(supervise('gauges', gauges.run), name='gauges')
        log(
            events.STARTED,
            instance=self._config.instance,
            roles=sorted(self._config.roles),
            data_centre=self._config.data_centre,
        )

    async def stop(self) -> None:
        """Drains the entry, hands over leadership and closes everything."""
        if self._control is not None:
            # Before the entry drains, which may take longer than the instance is left.
            await self._control.transfer_leadership()
        if self._entry is not None:
            await self._entry.drain()
            await self._entry.stop()
        if self._control is not None:
            await self._control.stop()
        for server in self._servers:
            await server.stop()
        if self._gauges_task is not None:
            self._gauges_task.cancel()
        await self._metrics.stop()
        await self._link_server.stop()
        await self._links.close()

    def _build_control(self) -> object:
        from geraniumrail.control.control import Control
        from geraniumrail.operators.routes import operator_routes

        control = Control.from_config(self._config, self._links, self._clock, random.Random())
        control.register(self._link_server)
        self._serve(self._config.operators, operator_routes(control))
        return control

    def _build_entry(self) -> object:
        from geraniumrail.callers.routes import caller_routes
        from geraniumrail.daemon.metered_serving import MeteredServing
        from geraniumrail.entry.entry import Entry

        entry = Entry.from_config(self._config, self._links, self._clock, random.Random())
        entry.register(self._link_server)
        metered = MeteredServing(entry, self._metrics.instruments)
        self._serve(self._config.callers, caller_routes(metered))
        return entry

    def _serve(self, listen: object, routes: list) -> None:
        server = HttpServer(listen, self._config.limits, self._key_ring, routes, self._clients)
        self._servers.append(server)


def _link_tls(config: DaemonConfig) -> LinkTls | None:
    files = config.peers.tls
    if files is None:
        return None
    return LinkTls(str(files.certificate), str(files.key), str(files.authority))
