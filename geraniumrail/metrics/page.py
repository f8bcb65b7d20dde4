"""Makes docs/metrics.md: `python -m geraniumrail.metrics.page`."""

import sys

from geraniumrail.metrics.catalogue import CATALOGUE
from geraniumrail.metrics.label_caps import CAPS_BY_LABEL, DEFAULT_CAP, OTHER
from geraniumrail.metrics.spec import Spec

_HEAD = """# Metrics

Made from `geraniumrail/metrics/catalogue.py` by `python -m geraniumrail.metrics.page`.

The key `metrics` of the daemon's YAML file chooses the exporter:

* `{exporter: none}`: nothing is recorded. This is the default.
* `{exporter: prometheus, listen: ip:port}`: `GET /metrics` on this address answers in the
  Prometheus text format, without an API key. There names have `_` in place of `.`, the unit is
  appended, and counters end in `_total`: `geraniumrail.first_token` becomes
  `geraniumrail_first_token_seconds`.
* `{exporter: otlp, endpoint: 'http://ip:port/v1/metrics'}`: metrics are posted to the endpoint with
  OTLP over HTTP. The daemon refuses to start if the exporter's package is not installed.

| name | kind | unit | labels | meaning |
|---|---|---|---|---|
"""
_TAIL = f"""
Each label has a bounded number of values in one process; later values are counted under `{OTHER}`.
The bounds are {', '.join(f'{cap} for `{label}`' for label, cap in sorted(CAPS_BY_LABEL.items()))}
and {DEFAULT_CAP} for other labels. The OpenTelemetry SDK exports at most 2,000 combinations of
labels of one instrument.

Upper bounds of the histograms' buckets, in seconds:

"""


def metrics_page() -> str:
    """Returns the text of docs/metrics.md."""
    rows = ''.join(_row(spec) for spec in CATALOGUE)
    bounds = ''.join(
        f'* `{spec.name}`: {", ".join(f"{bound:g}" for bound in spec.buckets)}\n'
        for spec in CATALOGUE
        if spec.buckets
    )
    return f'{_HEAD}{rows}{_TAIL}{bounds}'


def _row(spec: Spec) -> str:
    labels = ', '.join(f'`{label}`' for label in spec.labels) or '-'
    return f'| `{spec.name}` | {spec.kind} | `{spec.unit}` | {labels} | {spec.about} |\n'


if __name__ == '__main__':
    sys.stdout.write(metrics_page())
