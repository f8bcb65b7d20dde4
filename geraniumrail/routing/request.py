"""Fields of a request that routing uses."""

import dataclasses

from geraniumrail.routing.prefix_value import PrefixPlan


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteRequest:
    """Fields of all requests; base of the other classes."""

    request_id: str
    service: str
    data_centre: str  # of this entry
    region: str  # of this entry
    version_shares: tuple[tuple[str, float], ...] = ()  # empty: any version
    excluded: frozenset[str] = frozenset()  # instances that already failed this request
    traffic_class: str = 'chat'


@dataclasses.dataclass(frozen=True, kw_only=True)
class LanguageRequest(RouteRequest):
    """A completion; the i-th digest covers the first `(i + 1) * block_tokens` prompt tokens."""

    model: str
    adapter: str = ''
    prefixes: tuple[str, ...] = ()
    block_tokens: int = 64
    prefix_tokens: tuple[int, ...] = ()  # of each prefix, if not `block_tokens` apart
    prompt_tokens: int = 0
    preferred: tuple[str, ...] = ()  # instances to which all entries send the shared prefix
    shared_prefix_count: int = 1  # leading prefixes that other requests may share
    expected_answer_tokens: int = 0
    plan: PrefixPlan | None = None  # None: the memory of the engines is not known


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainRequest(RouteRequest):
    """A call of a plain service."""
