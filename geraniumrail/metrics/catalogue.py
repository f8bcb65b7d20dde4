"""The instruments of a daemon; docs/metrics.md is made from this table."""

from geraniumrail.metrics.spec import Spec

# The bounds are dense around the latency targets, 0.51 s and 0.059 s, so that the share of answers
# within the target is read from a bound and not interpolated.
FIRST_TOKEN_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.45, 0.51, 0.6, 0.75, 1, 2, 5, 10)
BETWEEN_TOKENS_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.059, 0.07, 0.1, 0.2, 0.5, 1, 2)
COMMIT_BUCKETS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)

_ANSWERS = (
    Spec(
        name='geraniumrail.requests',
        kind='counter',
        unit='{request}',
        labels=('route', 'organisation', 'outcome'),
        about='requests that ended; `outcome` is `ok` or the `type` of the failure',
    ),
    Spec(
        name='geraniumrail.tokens',
        kind='counter',
        unit='{token}',
        labels=('service', 'organisation', 'direction'),
        about='tokens of language model requests; `direction` is `prompt` or `answer`',
    ),
    Spec(
        name='geraniumrail.prompt_tokens',
        kind='counter',
        unit='{token}',
        labels=('service', 'expected'),
        about='prompt tokens that were sent, by whether the engine is expected to have them '
        '`cached` or has to `read` them; only for services whose `kv_tokens` is configured',
    ),
    Spec(
        name='geraniumrail.prefix_residence',
        kind='gauge',
        unit='s',
        labels=('service',),
        about='time for which an engine is expected to keep a prefix that is not used again',
    ),
    Spec(
        name='geraniumrail.first_token',
        kind='histogram',
        unit='s',
        labels=('service', 'traffic_class'),
        buckets=FIRST_TOKEN_BUCKETS,
        about='time from the arrival of a request to the first token of its answer',
    ),
    Spec(
        name='geraniumrail.between_tokens',
        kind='histogram',
        unit='s',
        labels=('service', 'traffic_class'),
        buckets=BETWEEN_TOKENS_BUCKETS,
        about='mean time between the tokens of one attempt',
    ),
    Spec(
        name='geraniumrail.answer',
        kind='histogram',
        unit='s',
        labels=('route', 'outcome'),
        buckets=FIRST_TOKEN_BUCKETS,
        about='time from the arrival of a forwarded request to the end of its answer',
    ),
    Spec(
        name='geraniumrail.queue_depth',
        kind='gauge',
        unit='{request}',
        labels=('service',),
        about='requests that wait in the fair queues of this entry',
    ),
    Spec(
        name='geraniumrail.shed',
        kind='counter',
        unit='{request}',
        labels=('service', 'reason'),
        about='requests that were refused before they ran because of a limit or overload',
    ),
)
_ATTEMPTS = (
    Spec(
        name='geraniumrail.retries',
        kind='counter',
        unit='{attempt}',
        labels=('service', 'reason'),
        about='further attempts of a request; `reason` is the `type` of the failure before',
    ),
    Spec(
        name='geraniumrail.retries_denied',
        kind='counter',
        unit='{request}',
        labels=('service',),
        about='forwarded requests without a further attempt because the budget was used up',
    ),
    Spec(
        name='geraniumrail.resumed_streams',
        kind='counter',
        unit='{stream}',
        labels=('service', 'reason'),
        about='streams that went on at another engine after their first token',
    ),
    Spec(
        name='geraniumrail.late_chunks',
        kind='counter',
        unit='{chunk}',
        labels=('service',),
        about='chunks of a replaced attempt that arrived late and were dropped',
    ),
    Spec(
        name='geraniumrail.bookings',
        kind='counter',
        unit='{booking}',
        labels=('service', 'outcome'),
        about='bookings that became final; `done`, `not_run` or `outcome_unknown`',
    ),
    Spec(
        name='geraniumrail.backends',
        kind='gauge',
        unit='{server}',
        labels=('service', 'state'),
        about='backend servers known to this daemon',
    ),
    Spec(
        name='geraniumrail.limited_backends',
        kind='gauge',
        unit='{server}',
        labels=('service',),
        about='backend servers that have named a limit of the requests that they take',
    ),
    Spec(
        name='geraniumrail.evacuated_backends',
        kind='gauge',
        unit='{server}',
        labels=('data_centre',),
        about='backend servers that get no requests because their data centre is evacuated',
    ),
    Spec(
        name='geraniumrail.cold_backends',
        kind='gauge',
        unit='{server}',
        labels=('service',),
        about='backend servers that this entry knows to be cold',
    ),
    Spec(
        name='geraniumrail.waiting_requests',
        kind='gauge',
        unit='{request}',
        labels=('service',),
        about='forwarded requests that wait in this entry for a place at a plain service',
    ),
    Spec(
        name='geraniumrail.limited_rate',
        kind='gauge',
        unit='{request}/s',
        labels=('service',),
        about='what this entry may send to backend servers of a plain service that are limited',
    ),
    Spec(
        name='geraniumrail.server_speed',
        kind='gauge',
        unit='1',
        labels=('service', 'rank'),
        about='learned speed of the `slowest` and the `fastest` backend server; 1 is the mean',
    ),
    Spec(
        name='geraniumrail.quarantines',
        kind='gauge',
        unit='{quarantine}',
        labels=('service',),
        about='requests, and sets of prompt parts whose requests, that this entry holds back',
    ),
    Spec(
        name='geraniumrail.relayed_connections',
        kind='gauge',
        unit='{connection}',
        about='connections to backend servers that this entry holds for entries that are cut off',
    ),
    Spec(
        name='geraniumrail.held_answer_bytes',
        kind='gauge',
        unit='By',
        about='bytes of answers of backend servers that this entry holds until they are sent on',
    ),
    Spec(
        name='geraniumrail.held_body_bytes',
        kind='gauge',
        unit='By',
        about="bytes of callers' bodies that this entry holds until their requests have ended",
    ),
    Spec(
        name='geraniumrail.answers_broken_off',
        kind='counter',
        unit='{answer}',
        labels=('reason',),
        about='answers of backend servers that were broken off for their size',
    ),
    Spec(
        name='geraniumrail.limit_rejections',
        kind='counter',
        unit='{request}',
        labels=('organisation', 'reason'),
        about="forwarded requests rejected for their organisation's limit; `reason` as in E1805",
    ),
    Spec(
        name='geraniumrail.held_head_bytes',
        kind='gauge',
        unit='By',
        about='bytes of clients whose requests are not complete, at all addresses of the process',
    ),
    Spec(
        name='geraniumrail.client_connections',
        kind='gauge',
        unit='{connection}',
        about='open connections of clients, at all addresses of the process',
    ),
    Spec(
        name='geraniumrail.clients_refused',
        kind='counter',
        unit='{connection}',
        labels=('reason',),
        about='connections of clients that were refused or closed because of a limit',
    ),
)
_CONTROL = (
    Spec(
        name='geraniumrail.settings_revision',
        kind='gauge',
        unit='{revision}',
        about='settings revision that this entry serves',
    ),
    Spec(
        name='geraniumrail.lease_left',
        kind='gauge',
        unit='s',
        about='time until the settings lease of this entry runs out',
    ),
    Spec(
        name='geraniumrail.view_age',
        kind='gauge',
        unit='s',
        about='time since this entry sent the newest report that the leader has answered',
    ),
    Spec(
        name='geraniumrail.control_bytes',
        kind='counter',
        unit='By',
        labels=('direction',),
        about='bytes of messages between daemons; `direction` is `sent` or `received`',
    ),
    Spec(
        name='geraniumrail.log_term',
        kind='gauge',
        unit='{term}',
        about='term of the local replica',
    ),
    Spec(
        name='geraniumrail.log_commit',
        kind='gauge',
        unit='{record}',
        about='index of the last committed record that the local replica knows',
    ),
    Spec(
        name='geraniumrail.log_bytes',
        kind='gauge',
        unit='By',
        about='bytes of the records that the local replica holds besides its snapshot',
    ),
    Spec(
        name='geraniumrail.log_lag',
        kind='gauge',
        unit='{record}',
        labels=('replica',),
        about='records that a member lacks, as seen by the leader',
    ),
    Spec(
        name='geraniumrail.commit',
        kind='histogram',
        unit='s',
        buckets=COMMIT_BUCKETS,
        about='time from the proposal of a command to its result',
    ),
)

CATALOGUE = _ANSWERS + _ATTEMPTS + _CONTROL
SPECS_BY_NAME = {spec.name: spec for spec in CATALOGUE}
