"""Expected cost of sending a request to a backend server, in seconds."""

import functools
import itertools

from geraniumrail.core.backend import Backend
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.estimate import Estimate
from geraniumrail.routing.request import LanguageRequest, PlainRequest, RouteRequest
from geraniumrail.routing.score_part import ScorePart

# Twice the round trip, so that distance decides between backend servers of similar load.
SAME_REGION_COST_S = 0.004
OTHER_REGION_COST_S = 0.2
# Loading an adapter delays the first token by about this long.
ADAPTER_LOAD_S = 0.5
# Above this share of KV memory, engines begin to preempt requests.
KV_SAFE_SHARE = 0.8
KV_FULL_COST_S = 1.0
# A full batch delays the first token by some decode steps. At 0.3 and more, small differences
# between stale reports outweigh the random draw if there are many entries.
BATCH_COST_S = 0.2
# Cost of a plain backend server whose slots are all in use, until its work time is known.
PLAIN_OCCUPANCY_COST_S = 0.05
# Other entries have probably sent the same prefix there, but this entry has no hint of it.
PREFERRED_CONFIDENCE = 0.6


@functools.singledispatch
def score(
    request: RouteRequest,
    backend: Backend,
    estimate: Estimate,
    tracker: BackendTracker,
    now: float,
) -> tuple[ScorePart, ...]:
    """Returns the parts of the score; the lowest sum is chosen.

    :param request: a `LanguageRequest` or `PlainRequest`.
    :param backend: candidate.
    :param estimate: expected load of the candidate.
    :param tracker: load and cache data of this entry.
    :param now: monotonic seconds.
    :raises TypeError: for another type of request.
    """
    raise TypeError(type(request).__name__)


@score.register
def _language(
    request: LanguageRequest,
    backend: Backend,
    estimate: Estimate,
    tracker: BackendTracker,
    now: float,
) -> tuple[ScorePart, ...]:
    own_tokens = request.prompt_tokens + request.expected_answer_tokens
    mean_tokens = (
        estimate.backlog_tokens / estimate.requests if estimate.requests >= 1 else own_tokens
    )
    waiting = max(0, estimate.requests + 1 - estimate.slots)
    uncached_tokens = max(0, request.prompt_tokens - cached_tokens(request, backend, tracker, now))
    pending_tokens = tracker.pending_prompt_tokens(backend.instance)
    read_s = estimate.slowness / tracker.prefill_tokens_per_s  # for each token
    adapter_missing = request.adapter and request.adapter not in backend.adapters
    amounts = {
        'wait': waiting * mean_tokens / estimate.tokens_per_s * estimate.slowness,
        'batch': BATCH_COST_S * min(1, estimate.occupancy),
        'prefill': (uncached_tokens + pending_tokens) * read_s,
        'distance': distance_s(request, backend),
        'adapter': ADAPTER_LOAD_S if adapter_missing else 0,
        'kv': KV_FULL_COST_S
        * (max(0, _kv_used(request, estimate) - KV_SAFE_SHARE) / (1 - KV_SAFE_SHARE)) ** 2,
        'penalty': estimate.penalty_s,
    }
    if request.plan is not None:
        added_tokens = uncached_tokens + request.expected_answer_tokens
        amounts['evict'] = added_tokens * request.plan.evicts * read_s
    return tuple(itertools.starmap(ScorePart, amounts.items()))


def cached_tokens(
    request: LanguageRequest, backend: Backend, tracker: BackendTracker, now: float
) -> float:
    """Returns the prompt tokens that an engine is expected to have cached.

    :param request: with its prefixes.
    :param backend: the engine.
    :param tracker: cache data of this entry.
    :param now: monotonic seconds.
    """
    plan = request.plan
    if plan is not None:
        known = tracker.hints.evidence(backend.instance, request.prefixes, now)
        hinted = [
            (_tokens_of(request, count), confidence * plan.holds(age_s))
            for count, confidence, age_s in known
        ]
        return plan.cached_tokens(backend.instance, hinted)
    cached, confidence = tracker.hints.cached_prefix(backend.instance, request.prefixes, now)
    tokens = _tokens_of(request, cached) * confidence
    if backend.instance in request.preferred:
        shared_tokens = _tokens_of(request, request.shared_prefix_count)
        return max(tokens, shared_tokens * PREFERRED_CONFIDENCE)
    return tokens


def _kv_used(request: LanguageRequest, estimate: Estimate) -> float:
    """Returns the share of KV memory in use, as reported or by the requests that run there."""
    if request.plan is None or estimate.kv_used:
        return estimate.kv_used
    return min(1, estimate.requests * request.plan.request_tokens / request.plan.kv_tokens)


def _tokens_of(request: LanguageRequest, prefixes: int) -> int:
    """Returns the number of prompt tokens in the first `prefixes` prefixes."""
    sizes = request.prefix_tokens
    return sizes[prefixes - 1] if sizes and prefixes else prefixes * request.block_tokens


@score.register
def _plain(
    request: PlainRequest,
    backend: Backend,
    estimate: Estimate,
    tracker: BackendTracker,
    now: float,
) -> tuple[ScorePart, ...]:
    work_s = PLAIN_OCCUPANCY_COST_S if estimate.work_s is None else estimate.work_s
    return (
        ScorePart('wait', work_s * estimate.slowness * estimate.occupancy),
        # Relative to a server of the usual speed: servers that are alike get no part.
        ScorePart('work', work_s * (estimate.slowness - 1)),
        ScorePart('distance', distance_s(request, backend)),
        ScorePart('penalty', estimate.penalty_s),
    )


def distance_s(request: RouteRequest, backend: Backend) -> float:
    """Returns the cost of the distance between this entry and the backend server.

    :param request: has the data centre and region of the entry.
    :param backend: candidate.
    """
    if backend.region != request.region:
        return OTHER_REGION_COST_S
    return 0 if backend.data_centre == request.data_centre else SAME_REGION_COST_S
