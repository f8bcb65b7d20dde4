"""The metrics of one process, exported as its settings file says."""

import asyncio

from opentelemetry.metrics import MeterProvider, NoOpMeterProvider

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.metrics.instruments import Instruments

METER = 'geraniumrail'


class Metrics:
    """Instruments, their provider and the server that shows them, if there is one."""

    def __init__(self, provider: MeterProvider, server: object = None) -> None:
        """Creates the instruments.

        :param provider: OpenTelemetry provider.
        :param server: a `PrometheusServer`, or None.
        """
        self.provider = provider
        self.instruments = Instruments.from_meter(provider.get_meter(METER))
        self._server = server

    @classmethod
    def from_config(cls, config: DaemonConfig, clients: ClientLimits | None = None) -> 'Metrics':
        """Creates the metrics of a settings file; loads only the exporter that it names.

        :param config: settings file.
        :param clients: limits of all connections of the process.
        :raises MissingPackageError: if the package of the exporter is not installed.
        """
        if config.metrics.exporter == 'none':
            return cls(NoOpMeterProvider())
        from geraniumrail.metrics.providers import otlp_provider, prometheus_provider

        if config.metrics.exporter == 'otlp':
            return cls(otlp_provider(config))
        return cls(*prometheus_provider(config, clients))

    async def start(self) -> None:
        """Starts the server.

        :raises OSError: if its address can't be used.
        """
        if self._server is not None:
            await self._server.start()

    async def stop(self) -> None:
        """Stops the server and sends what was not sent yet."""
        if self._server is not None:
            await self._server.stop()
        shutdown = getattr(self.provider, 'shutdown', None)
        if shutdown is not None:
            # The last export waits for the network, which must not hold up the event loop.
            await asyncio.to_thread(shutdown)
