"""Chooses a backend server for a request."""

import dataclasses
import itertools
import random
from collections.abc import Sequence

from geraniumrail.core.backend import Backend
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.eligibility import eligible_backends
from geraniumrail.routing.estimate import Estimate
from geraniumrail.routing.request import LanguageRequest, RouteRequest
from geraniumrail.routing.score import cached_tokens, score
from geraniumrail.routing.score_part import ScorePart
from geraniumrail.routing.scored_backend import ScoredBackend

# Backend servers drawn at random. With 40 entries and reports about a second old, 8 are clearly
# worse than 4 or 2, because all entries then choose the same few; see docs/MEASUREMENTS.md.
SAMPLE_BACKENDS = 3
# Backend servers with a prefix hint that are scored in addition to the sample.
MAX_PREFIX_HOLDERS = 2
# Above this multiple of the sample's mean load (plus one request), prefixes count as not cached.
AFFINITY_LOAD_RATIO = 1.25


def choose(
    candidates: Sequence[Backend],
    request: RouteRequest,
    tracker: BackendTracker,
    rng: random.Random,
    now: float,
) -> Decision:
    """Draws a version, then a few backend servers, and returns the one with the lowest score.

    :param candidates: backend servers of the service.
    :param request: a `LanguageRequest` or `PlainRequest`.
    :param tracker: load and cache data of this entry.
    :param rng: source of all draws, so that the decision is reproducible from a seed.
    :param now: monotonic seconds.
    :raises NoBackendError: if no backend server may take the request.
    """
    eligible = eligible_backends(candidates, request, tracker, rng, now)
    usable = tracker.cold.drawn(eligible, rng, now)
    sample = _draw(usable, request.region, rng)
    estimates = [tracker.estimate(each, now) for each in sample]
    mean_occupancy = sum(each.occupancy for each in estimates) / len(estimates)
    for holder in _holders(request, usable, tracker):
        if holder not in sample:
            sample.append(holder)
            estimates.append(tracker.estimate(holder, now))
    scored = []
    for backend, estimate in zip(sample, estimates, strict=True):
        parts = score(request, backend, estimate, tracker, now)
        if _is_capped(request) and not within_affinity_cap(estimate, mean_occupancy):
            parts = _without_affinity(parts, request, estimate, tracker)
        scored.append(ScoredBackend(backend, parts, estimate.slowness))
    scored.sort(key=lambda each: each.total)
    decision = _decide(request, scored)
    if not isinstance(request, LanguageRequest):
        return decision
    cached = cached_tokens(request, decision.backend, tracker, now)
    return dataclasses.replace(decision, cached_tokens=min(request.prompt_tokens, cached))


def _draw(usable: Sequence[Backend], region: str, rng: random.Random) -> list[Backend]:
    """Draws from the region of the entry, plus one of another region for overflow.

    Backend servers whose load is not known are drawn only if it is known of none: every entry that
    lacks their load would estimate them at the mean. They still get prompts that they may cache.
    """
    known = [backend for backend in usable if backend.load_known] or usable
    near = [backend for backend in known if backend.region == region]
    if not near:
        return rng.sample(known, min(SAMPLE_BACKENDS, len(known)))
    sample = rng.sample(near, min(SAMPLE_BACKENDS, len(near)))
    if len(near) < len(known):
        sample.append(rng.choice([backend for backend in known if backend.region != region]))
    return sample


def _decide(request: RouteRequest, scored: Sequence[ScoredBackend]) -> Decision:
    best, *others = scored
    return Decision(
        request_id=request.request_id,
        service=request.service,
        backend=best.backend,
        score=best.total,
        parts=best.parts,
        alternatives=tuple((other.backend.instance, other.total) for other in others),
        reason=_reason(best.parts, others[0].parts if others else ()),
        slowness=best.slowness,
    )


def _is_capped(request: RouteRequest) -> bool:
    """Returns whether affinity ends at some load; with a plan it is weighed against the load."""
    return not isinstance(request, LanguageRequest) or request.plan is None


def within_affinity_cap(estimate: Estimate, mean_occupancy: float) -> bool:
    """Returns whether a backend server's load is low enough for prefix affinity.

    :param estimate: its expected load.
    :param mean_occupancy: mean requests per slot of the sample.
    """
    return estimate.requests <= AFFINITY_LOAD_RATIO * mean_occupancy * estimate.slots + 1


def _without_affinity(
    parts: tuple[ScorePart, ...],
    request: RouteRequest,
    estimate: Estimate,
    tracker: BackendTracker,
) -> tuple[ScorePart, ...]:
    """Counts the whole prompt as not cached, so that a popular prefix overloads no engine."""
    if not isinstance(request, LanguageRequest):
        return parts
    whole = request.prompt_tokens / tracker.prefill_tokens_per_s * estimate.slowness
    return tuple(ScorePart(part.name, whole) if part.name == 'prefill' else part for part in parts)


def _holders(
    request: RouteRequest, usable: Sequence[Backend], tracker: BackendTracker
) -> tuple[Backend, ...]:
    if not isinstance(request, LanguageRequest):
        return ()
    # The same few holders of a part that is everywhere would be scored for all its requests.
    known = 0 if request.plan is None else request.plan.everywhere
    prefixes = request.prefixes[known:]
    usable_by_id = {backend.instance: backend for backend in usable}
    found = (
        usable_by_id[instance]
        for instance in tracker.hints.holders(prefixes)
        if instance in usable_by_id
    )
    wanted = request.preferred if request.plan is None else request.plan.preferred
    preferred = (usable_by_id[instance] for instance in wanted if instance in usable_by_id)
    return (*itertools.islice(found, MAX_PREFIX_HOLDERS), *preferred)


def _reason(best: tuple[ScorePart, ...], second: tuple[ScorePart, ...]) -> str:
    """Returns the part of the score with the largest advantage over the second best."""
    if not second:
        return 'only_candidate'
    gains = {
        mine.name: other.amount - mine.amount for mine, other in zip(best, second, strict=True)
    }
    strongest = max(gains, key=lambda name: gains[name])
    return f'lowest_{strongest}' if gains[strongest] > 0 else 'equal_scores'
