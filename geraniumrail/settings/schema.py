"""The keys of the settings tree; `--help` and docs/settings.md are made from this table."""

from geraniumrail.settings import level
from geraniumrail.settings.setting import Setting

_DAY_MS = 86_400_000
_DAY_S = 86_400

# The default limits are above any rate of one organisation at the larger size, so they mean no
# limit. Zero is refused because it reads both as "no limit" and as "nothing".
_IDENTITY = (
    Setting(
        key='kind',
        default='engine',
        choices=('engine', 'plain'),
        levels=level.SERVICE_ONLY,
        about='whether the service is a language model engine or a plain service',
    ),
    Setting(
        key='version',
        default='',
        pattern='[A-Za-z0-9._:+-]{0,128}',
        levels=level.SERVICE_ONLY,
        about='version that receives the traffic outside of a move; empty: any announced version',
    ),
    Setting(
        key='fencing',
        default='ignored',
        choices=('enforced', 'ignored'),
        levels=level.SHARED,
        about='whether the engines refuse an order with an old fencing number',
    ),
    Setting(
        key='outcome_path',
        default='',
        pattern='|(/[A-Za-z0-9_~-][A-Za-z0-9._~-]{0,63}){1,8}',
        levels=level.SERVICES,
        about='path where a plain service reports the outcome of an idempotency key; empty: none',
    ),
    Setting(
        key='repeatable',
        default=True,
        levels=level.SERVICES,
        about='whether a request may be sent again after it may have run',
    ),
    Setting(
        key='traffic_class',
        default='quick',
        choices=('chat', 'quick', 'review'),
        about='class in the fair queue: chat before quick before review',
    ),
)
_LIMITS = (
    Setting(
        key='weight',
        default=1.0,
        low=0.1,
        high=100,
        levels=level.LIMITS,
        about='share of an organisation in the fair queue, relative to the others',
    ),
    Setting(
        key='tokens_per_s',
        default=1e9,
        low=1,
        high=1e9,
        levels=level.LIMITS,
        about='most tokens of one organisation per second, over all entries',
    ),
    Setting(
        key='requests_per_s',
        default=1e6,
        low=0.01,
        high=1e6,
        levels=level.LIMITS,
        about='most requests of one organisation per second, over all entries',
    ),
    Setting(
        key='max_concurrent',
        default=1_000_000,
        low=1,
        high=1_000_000,
        levels=level.LIMITS,
        about='most requests of one organisation in progress, over all entries',
    ),
    Setting(
        key='queue_limit',
        default=256,
        low=0,
        high=100_000,
        levels=(*level.SHARED, level.Level.ORGANISATION, level.Level.SERVICE),
        about='most requests of one organisation that wait at one entry for one service',
    ),
    Setting(
        key='retry_budget',
        default=0.2,
        low=0,
        high=1,
        about='retries as a share of the requests of the last minute',
    ),
)
_PROGRESS = (
    Setting(
        key='first_token_ms',
        default=510,
        low=1,
        high=_DAY_MS,
        about='latency target for the first token at the 95th percentile',
    ),
    Setting(
        key='between_tokens_ms',
        default=59,
        low=1,
        high=_DAY_MS,
        about='latency target between tokens at the 95th percentile',
    ),
    Setting(
        key='first_token_timeout_ms',
        default=5000,
        low=1,
        high=_DAY_MS,
        about='an attempt without a first token (plain: first byte) after this time is replaced',
    ),
    Setting(
        key='between_tokens_timeout_ms',
        default=2000,
        low=1,
        high=_DAY_MS,
        about='a stream without a further token after this time is resumed elsewhere',
    ),
    Setting(
        key='deadline_ms',
        default=120_000,
        low=1,
        high=_DAY_MS,
        about='longest time from the arrival of a request to the end of its answer',
    ),
    Setting(
        key='review_completion_s',
        default=60.0,
        low=1,
        high=_DAY_S,
        about='time within which a request of class review is complete, even under load',
    ),
)
_SYSTEM = (
    Setting(
        key='canary_share',
        default=0.05,
        low=0.001,
        high=0.2,
        levels=level.SHARED,
        about='share of the traffic that a new version receives before there is evidence',
    ),
    Setting(
        key='on_demand_share',
        default=0.2,
        low=0,
        high=1,
        levels=level.SHARED,
        about='least share of the instances of a service that is not reclaimable',
    ),
    Setting(
        key='keep_for_s',
        default=10.0,
        low=1,
        high=300,
        levels=level.ROOT_ONLY,
        about='how long callers keep an answer of /v1/entries',
    ),
    Setting(
        key='max_body_bytes',
        default=1_048_576,
        low=1024,
        high=67_108_864,
        levels=level.ROOT_ONLY,
        about='largest body of a request',
    ),
)

SCHEMA = _IDENTITY + _LIMITS + _PROGRESS + _SYSTEM
SETTINGS_BY_KEY = {setting.key: setting for setting in SCHEMA}
