"""The reader that sends metrics to an OTLP endpoint."""

from opentelemetry.sdk.metrics.export import MetricReader, PeriodicExportingMetricReader

from geraniumrail.errors.config import MissingPackageError

PACKAGE = 'opentelemetry-exporter-otlp-proto-http'
INTERVAL_S = 15
TIMEOUT_S = 5


def otlp_reader(endpoint: str) -> MetricReader:
    """Creates the reader; the SDK sends from a thread of its own.

    :param endpoint: URL to which metrics are posted.
    :raises MissingPackageError: if the exporter is not installed.
    """
    try:
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
    except ImportError as error:
        raise MissingPackageError(key='metrics.exporter', chosen='otlp', package=PACKAGE) from error
    return PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint, timeout=TIMEOUT_S),
        export_interval_millis=INTERVAL_S * 1000,
        export_timeout_millis=TIMEOUT_S * 1000,
    )
