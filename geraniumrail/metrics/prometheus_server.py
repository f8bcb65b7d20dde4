"""Serves `/metrics` in the Prometheus text format, on the event loop of the daemon."""

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.connection import ConnectionRunner
from geraniumrail.config.address import split_address


class PrometheusServer:
    """One listening address without API keys; it is meant for a private network."""

    def __init__(
        self, listen: str, registry: CollectorRegistry, clients: ClientLimits | None = None
    ) -> None:
        """Builds the application.

        :param listen: ip:port.
        :param registry: what to show.
        :param clients: limits of all connections of the process.
        """
        self._clients = clients or ClientLimits.from_machine()
        self._listen = listen
        self._registry = registry
        application = web.Application(client_max_size=0)
        application.add_routes([web.get('/metrics', self._show)])
        options = {'access_log': None, 'shutdown_timeout': 1}
        self._runner = ConnectionRunner(application, self._clients, **options)

    async def start(self) -> None:
        """Listens.

        :raises OSError: if the address can't be used.
        """
        host, port = split_address(self._listen)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, backlog=self._clients.backlog).start()

    async def stop(self) -> None:
        """Stops listening and ends the connections."""
        await self._runner.cleanup()

    async def _show(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )
