"""Serves `/metrics` in the Prometheus text format, on the event loop of the daemon."""

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from geraniumrail.config.address import split_address


class PrometheusServer:
    """One listening address without API keys; it is meant for a private network."""

    def __init__(self, listen: str, registry: CollectorRegistry) -> None:
        """Builds the application.

        :param listen: ip:port.
        :param registry: what to show.
        """
        self._listen = listen
        self._registry = registry
        application = web.Application(client_max_size=0)
        application.add_routes([web.get('/metrics', self._show)])
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=1)

    async def start(self) -> None:
        """Listens.

        :raises OSError: if the address can't be used.
        """
        host, port = split_address(self._listen)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops listening and ends the connections."""
        await self._runner.cleanup()

    async def _show(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )
