"""Providers of the OpenTelemetry SDK for each exporter."""

from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.metrics.otlp_reader import otlp_reader
from geraniumrail.metrics.prometheus_server import PrometheusServer


def prometheus_provider(
    config: DaemonConfig, clients: ClientLimits | None
) -> tuple[MeterProvider, PrometheusServer]:
    """Creates a provider and the server that shows it.

    :param config: settings file.
    :param clients: limits of all connections of the process.
    """
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from prometheus_client import CollectorRegistry

    registry = CollectorRegistry()
    reader = PrometheusMetricReader(registry=registry, scope_info_enabled=False)
    server = PrometheusServer(config.metrics.listen, registry, clients)
    return _provider(config, reader), server


def otlp_provider(config: DaemonConfig) -> MeterProvider:
    """Creates a provider that sends to the endpoint of the settings file.

    :param config: settings file.
    :raises MissingPackageError: if the exporter is not installed.
    """
    return _provider(config, otlp_reader(config.metrics.endpoint))


def _provider(config: DaemonConfig, reader: MetricReader) -> MeterProvider:
    resource = Resource(
        {
            'service.name': 'geraniumrail',
            'service.instance.id': config.instance,
            'cloud.region': config.region,
            'cloud.availability_zone': config.data_centre,
        },
    )
    # Exemplars need traces, which the daemon has none of.
    return MeterProvider(
        metric_readers=(reader,),
        resource=resource,
        exemplar_filter=AlwaysOffExemplarFilter(),
    )
