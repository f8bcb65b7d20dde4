"""Prints the processor time of recording and of showing metrics.

Run: `python -m geraniumrail.bench.metrics_cost`.
"""

import itertools
import time
from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from geraniumrail.metrics.instruments import Instruments

CALLS = 200_000
SHOWN = 20
ORGANISATIONS = tuple(f'organisation-{number}' for number in range(5))


def main() -> None:
    """Measures with five organisations, as many as a deployment has today."""
    registry = CollectorRegistry()
    provider = MeterProvider(
        metric_readers=(PrometheusMetricReader(registry=registry),),
        exemplar_filter=AlwaysOffExemplarFilter(),
    )
    instruments = Instruments.from_meter(provider.get_meter('bench'))
    organisations = itertools.cycle(ORGANISATIONS)
    _measure(
        'counter add',
        CALLS,
        lambda: instruments.requests.add(1, 'chat', next(organisations), 'ok'),
    )
    _measure(
        'histogram record',
        CALLS,
        lambda: instruments.between_tokens.record(0.04, 'model-bench', 'chat'),
    )
    _measure('show all', SHOWN, lambda: generate_latest(registry))


def _measure(name: str, calls: int, work: Callable[[], object]) -> None:
    for _ in range(calls // 10):
        work()
    started = time.process_time()
    for _ in range(calls):
        work()
    elapsed = time.process_time() - started
    print(f'{name}: {elapsed / calls * 1e6:.2f} us of processor time')  # noqa: WPS421


if __name__ == '__main__':
    main()
