"""The instruments of a daemon."""

import dataclasses

from opentelemetry.metrics import Meter, NoOpMeter

from geraniumrail.metrics.catalogue import SPECS_BY_NAME
from geraniumrail.metrics.counter import Counter
from geraniumrail.metrics.gauge import Gauge
from geraniumrail.metrics.histogram import Histogram
from geraniumrail.metrics.label_caps import LabelCaps

PREFIX = 'geraniumrail.'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instruments:
    """One field for each instrument of the catalogue, which gives its labels in order."""

    requests: Counter
    tokens: Counter
    prompt_tokens: Counter
    prefix_residence: Gauge
    first_token: Histogram
    between_tokens: Histogram
    answer: Histogram
    queue_depth: Gauge
    shed: Counter
    retries: Counter
    retries_denied: Counter
    resumed_streams: Counter
    late_chunks: Counter
    bookings: Counter
    backends: Gauge
    limited_backends: Gauge
    evacuated_backends: Gauge
    cold_backends: Gauge
    waiting_requests: Gauge
    limited_rate: Gauge
    server_speed: Gauge
    quarantines: Gauge
    relayed_connections: Gauge
    held_answer_bytes: Gauge
    held_body_bytes: Gauge
    answers_broken_off: Counter
    limit_rejections: Counter
    held_head_bytes: Gauge
    client_connections: Gauge
    clients_refused: Counter
    settings_revision: Gauge
    lease_left: Gauge
    view_age: Gauge
    control_bytes: Counter
    log_term: Gauge
    log_commit: Gauge
    log_bytes: Gauge
    log_lag: Gauge
    commit: Histogram

    @classmethod
    def from_meter(cls, meter: Meter, caps: LabelCaps | None = None) -> 'Instruments':
        """Creates all instruments.

        :param meter: OpenTelemetry meter.
        :param caps: bounds of the labels.
        """
        shared = caps or LabelCaps()
        return cls(
            **{
                field.name: field.type(meter, SPECS_BY_NAME[PREFIX + field.name], shared)
                for field in dataclasses.fields(cls)
            },
        )

    @classmethod
    def silent(cls) -> 'Instruments':
        """Creates instruments that record nothing, for tests and experiments."""
        return cls.from_meter(NoOpMeter('geraniumrail'))
