"""Which engines cache the beginning of a prompt, and what that is worth against their load.

Load pattern: few parts that all requests share, many documents that some share, and engines whose
memory holds a small part of the documents, while many entries exchange no messages about it.
"""

import dataclasses
import functools
import heapq
import math
from collections.abc import Mapping, Sequence

from geraniumrail.routing.part_popularity import Decaying, PartPopularity
from geraniumrail.routing.rendezvous import PREFERRED_INSTANCES, quick_rank, rank

# A copy more than the load of a part needs, so that the copies are not the busiest engines.
COPY_HEADROOM = 2.0
# Above this share of the engines, a part is taken to be everywhere.
EVERYWHERE_SHARE = 0.25
# Share of the requests of a part that reach the second of two copies.
OVERFLOW_SHARE = 0.2
MAX_RESIDENCE_S = 300.0
MIN_FREE_SHARE = 0.1
MAX_CONFIDENCE = 0.95
# Placements that are remembered until the engines change; about 300 bytes of memory each.
MAX_PLACEMENTS = 4096
# Engines among which all are ranked for a part; more are ranked in groups first.
MAX_RANKED = 128
GROUPS = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """The engines of a service and those that send to them."""

    instances: Sequence[str]  # that serve, in an order that stays
    kv_tokens: int  # memory of one engine
    requests: float  # running at one engine, on average
    entries: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SharedPart:
    """Expected place of one leading part of a prompt."""

    tokens: int  # of the leading parts, this one included
    copies: tuple[str, ...]  # instances, best first; empty: everywhere
    confidences: tuple[float, ...]  # that each copy caches it; one figure if it is everywhere

    def confidence(self, instance: str) -> float:
        """Returns the probability that an engine caches the part by requests of other entries.

        :param instance: the engine.
        """
        if not self.copies:
            return self.confidences[0]
        if instance in self.copies:
            return self.confidences[self.copies.index(instance)]
        return 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefixPlan:
    """What is expected of the engines for one prompt."""

    parts: tuple[SharedPart, ...]
    residence_s: float  # for which an engine keeps a prefix that is not used
    kv_tokens: int  # memory of one engine
    request_tokens: float  # that a request adds, on average
    evicts: float  # tokens that others would have to read again, for each token that is added

    @property
    def preferred(self) -> tuple[str, ...]:
        """Engines that are scored in addition to the drawn ones, for the longest part first."""
        copies = [part.copies[:PREFERRED_INSTANCES] for part in reversed(self.parts)]
        return tuple(dict.fromkeys(instance for found in copies for instance in found))

    @property
    def everywhere(self) -> int:
        """Number of leading parts that are taken to be at every engine."""
        return sum(not part.copies for part in self.parts)

    def holds(self, age_s: float) -> float:
        """Returns the probability that an engine still caches what was sent there.

        :param age_s: since it was sent.
        """
        return max(0, min(1, 1.5 - age_s / self.residence_s))

    def cached_tokens(self, instance: str, hinted: Sequence[tuple[int, float]]) -> float:
        """Returns the prompt tokens that an engine is expected to have cached.

        :param instance: the engine.
        :param hinted: (tokens, probability) of the prefixes that this entry itself knows of.
        """
        known = [(part.tokens, part.confidence(instance)) for part in self.parts]
        expected: float = 0
        probability: float = 0
        longest = 0
        # A prefix can't be cached without the shorter ones that it contains.
        for tokens, found in sorted((*known, *hinted), reverse=True):
            expected += probability * (longest - tokens) if longest else 0
            probability = max(probability, found)
            longest = tokens
        return expected + probability * longest


class PrefixValue:
    """Popularity of parts and flow of tokens through the engines of one service."""

    def __init__(self) -> None:
        """Starts without requests."""
        self.popularity = PartPopularity()
        self.last_residence_s = MAX_RESIDENCE_S  # for the gauge
        self._added = Decaying()
        self._prompt = Decaying()
        self._attempts = Decaying()
        self._cached = Decaying()
        self._ranked_by_prefix: dict[str, tuple[str, ...]] = {}
        self._instances: Sequence[str] = ()
        self._groups: Mapping[str, Sequence[str]] = {}

    def observe(self, prefixes: tuple[str, ...], now: float) -> None:
        """Records a request, once.

        :param prefixes: names of the leading parts that others may share, shortest first.
        :param now: monotonic seconds.
        """
        self.popularity.observe(prefixes, now)

    def sent(
        self, prompt_tokens: float, cached_tokens: float, answer_tokens: float, now: float
    ) -> None:
        """Records what an attempt adds to the memory of an engine.

        :param prompt_tokens: of the request.
        :param cached_tokens: expected to be cached there.
        :param answer_tokens: the most that it asks for.
        :param now: monotonic seconds.
        """
        self._added.add(max(0, prompt_tokens - cached_tokens) + answer_tokens, now)
        self._attempts.add(1, now)
        self._prompt.add(prompt_tokens, now)
        self._cached.add(cached_tokens, now)

    def cached_share(self, now: float) -> float:
        """Returns the share of the recent prompt tokens that was expected to be cached.

        :param now: monotonic seconds.
        """
        return self._cached.get(now) / max(1, self._prompt.get(now))

    def residence_s(self, pool: Pool, now: float) -> float:
        """Returns the time for which an engine keeps a prefix that is not used again.

        :param pool: the engines.
        :param now: monotonic seconds.
        """
        own_per_s = self._added.get(now) / self.popularity.window_s(now)
        added_per_s = own_per_s * pool.entries / max(1, len(pool.instances))
        active = pool.requests * self._request_tokens(now)
        free = max(MIN_FREE_SHARE * pool.kv_tokens, pool.kv_tokens - active)
        return min(MAX_RESIDENCE_S, free / max(1, added_per_s))

    def plan(
        self,
        prefixes: Sequence[str],
        prefix_tokens: Sequence[int],
        pool: Pool,
        now: float,
    ) -> PrefixPlan:
        """Returns what is expected of the engines for one prompt.

        :param prefixes: names of the leading parts that others may share, shortest first.
        :param prefix_tokens: tokens of each, those before it included.
        :param pool: the engines.
        :param now: monotonic seconds.
        """
        self._take_instances(pool.instances)
        residence_s = self.residence_s(pool, now)
        self.last_residence_s = residence_s
        parts = tuple(
            self._place(prefix, depth, tokens, residence_s * pool.entries, now)
            for depth, (prefix, tokens) in enumerate(zip(prefixes, prefix_tokens, strict=False))
        )
        return PrefixPlan(
            parts=parts,
            residence_s=residence_s,
            kv_tokens=pool.kv_tokens,
            request_tokens=self._request_tokens(now),
            evicts=0 if residence_s >= MAX_RESIDENCE_S else self.cached_share(now),
        )

    def _place(
        self, prefix: str, depth: int, tokens: int, residence_s: float, now: float
    ) -> SharedPart:
        engines = max(1, len(self._instances))
        per_s = self.popularity.per_s(prefix, depth, now)
        share = min(1, per_s / max(per_s, self.popularity.requests_per_s(now), 1e-9))
        uses = per_s * residence_s  # by all entries while an engine keeps the part
        copies = max(PREFERRED_INSTANCES, math.ceil(share * engines * COPY_HEADROOM))
        if copies >= engines * EVERYWHERE_SHARE and copies > PREFERRED_INSTANCES:
            return SharedPart(tokens=tokens, copies=(), confidences=(_probability(uses / engines),))
        ranked = self._ranked(prefix, copies)
        if copies > PREFERRED_INSTANCES:
            confidences = (_probability(uses / copies),) * len(ranked)
        else:
            first = _probability(uses * (1 - OVERFLOW_SHARE))
            confidences = (first, _probability(uses * OVERFLOW_SHARE))
        return SharedPart(tokens=tokens, copies=ranked, confidences=confidences)

    def _request_tokens(self, now: float) -> float:
        return self._added.get(now) / max(1, self._attempts.get(now))

    def _ranked(self, prefix: str, copies: int) -> tuple[str, ...]:
        known = self._ranked_by_prefix.get(prefix, ())
        if len(known) < min(copies, len(self._instances)):
            near = self._near(prefix, copies)
            known = tuple(heapq.nlargest(copies, near, key=functools.partial(quick_rank, prefix)))
            if len(self._ranked_by_prefix) >= MAX_PLACEMENTS:
                self._ranked_by_prefix.clear()
            self._ranked_by_prefix[prefix] = known
        return known[:copies]

    def _near(self, prefix: str, copies: int) -> Sequence[str]:
        """Returns the engines that are ranked for a prefix: all, or those of the best groups."""
        if len(self._instances) <= MAX_RANKED:
            return self._instances
        found: list[str] = []
        for group in sorted(self._groups, key=functools.partial(quick_rank, prefix), reverse=True):
            found.extend(self._groups[group])
            if len(found) >= copies:
                break
        return found

    def _take_instances(self, instances: Sequence[str]) -> None:
        if instances != self._instances:
            self._instances = instances
            self._ranked_by_prefix = {}
            groups: dict[str, list[str]] = {}
            for instance in instances:
                group = f'group {rank("group", instance)[0] % GROUPS}'
                groups.setdefault(group, []).append(instance)
            self._groups = groups


def _probability(uses: float) -> float:
    """Returns the probability that there was a use, if so many are expected."""
    return MAX_CONFIDENCE * (1 - math.exp(-uses))
