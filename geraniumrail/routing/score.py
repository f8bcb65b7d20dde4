"""Expected cost of sending a request to a backend server, in seconds."""

import functools
import itertools

from geraniumrail.core.backend import Backend
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.estimate import Estimate
from geraniumrail.routing.request import LanguageRequest, PlainRequest, RouteRequest
from geraniumrail.routing.score_part import ScorePart

# Round trips, doubled so that nearness decides between backend servers of similar load.
SAME_REGION_S = 0.004
OTHER_REGION_S = 0.2
# Loading an adapter delays the first token by about this long.
ADAPTER_LOAD_S = 0.5
# Above this share of KV memory engines start to preempt requests.
KV_SAFE = 0.8
KV_FULL_S = 1.0
# A full batch delays the first token by some decode steps. At 0.3 and more, small differences in
# stale reports outweigh the draw when there are many entries.
BATCH_COST_S = 0.2
PLAIN_SERVICE_S = 0.05
# Another entry has probably sent the same prefix there; this one can't know.
PREFERRED_CONFIDENCE = 0.6


@functools.singledispatch
def score(
    request: RouteRequest,
    backend: Backend,
    estimate: Estimate,
    knowledge: BackendTracker,
    now: float,
) -> tuple[ScorePart, ...]:
    """Returns the parts of the score; their sum is compared.

    :param request: a `LanguageRequest` or `PlainRequest`.
    :param backend: candidate.
    :param estimate: expected load of the candidate.
    :param knowledge: this entry's view.
    :param now: monotonic seconds.
    :raises TypeError: for another type of request.
    """
    raise TypeError(type(request).__name__)


@score.register
def _language(
    request: LanguageRequest,
    backend: Backend,
    estimate: Estimate,
    knowledge: BackendTracker,
    now: float,
) -> tuple[ScorePart, ...]:
    own_tokens = request.prompt_tokens + request.expected_answer_tokens
    mean_tokens = (
        estimate.backlog_tokens / estimate.requests if estimate.requests >= 1 else own_tokens
    )
    waiting = max(0, estimate.requests + 1 - estimate.slots)
    cached, worth = knowledge.hints.cached_prefix(backend.instance, request.prefixes, now)
    cached_tokens = _tokens_of(request, cached) * worth
    if backend.instance in request.preferred:
        shared_tokens = _tokens_of(request, request.shared_prefix_count)
        cached_tokens = max(cached_tokens, shared_tokens * PREFERRED_CONFIDENCE)
    uncached_tokens = max(0, request.prompt_tokens - cached_tokens)
    uncached_tokens += knowledge.pending_prompt_tokens(backend.instance)
    adapter_missing = request.adapter and request.adapter not in backend.adapters
    amounts = {
        'wait': waiting * mean_tokens / estimate.tokens_per_s,
        'batch': BATCH_COST_S * min(1, estimate.occupancy),
        'prefill': uncached_tokens / knowledge.prefill_tokens_per_s,
        'distance': distance_s(request, backend),
        'adapter': ADAPTER_LOAD_S if adapter_missing else 0,
        'kv': KV_FULL_S * (max(0, estimate.kv_used - KV_SAFE) / (1 - KV_SAFE)) ** 2,
        'penalty': estimate.penalty_s,
    }
    return tuple(itertools.starmap(ScorePart, amounts.items()))


def _tokens_of(request: LanguageRequest, prefixes: int) -> int:
    """Returns the prompt tokens that a number of leading prefixes covers."""
    sizes = request.prefix_tokens
    return sizes[prefixes - 1] if sizes and prefixes else prefixes * request.block_tokens


@score.register
def _plain(
    request: PlainRequest,
    backend: Backend,
    estimate: Estimate,
    knowledge: BackendTracker,
    now: float,
) -> tuple[ScorePart, ...]:
    return (
        ScorePart('wait', PLAIN_SERVICE_S * estimate.occupancy),
        ScorePart('distance', distance_s(request, backend)),
        ScorePart('penalty', estimate.penalty_s),
    )


def distance_s(request: RouteRequest, backend: Backend) -> float:
    """Returns the cost of the distance between this entry and the backend server.

    :param request: holds the entry's place.
    :param backend: candidate.
    """
    if backend.region != request.region:
        return OTHER_REGION_S
    return 0 if backend.data_centre == request.data_centre else SAME_REGION_S
