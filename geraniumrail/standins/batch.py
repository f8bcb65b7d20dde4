"""Continuous batching: token times depend on how many requests run together."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncIterator

from geraniumrail.core.load_report import LoadReport
from geraniumrail.standins import answer
from geraniumrail.standins.kv_store import KvStore
from geraniumrail.standins.prefix_cache import PrefixCache
from geraniumrail.standins.slots import Slots
from geraniumrail.standins.work import Work

_MS = 0.001
_JOURNAL_LIMIT = 50_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Speed:
    """Times of an engine."""

    first_token_ms: float = 40  # for a prompt that is not cached
    token_ms: float = 10  # between tokens of a request that runs alone
    batch_slowdown: float = 1  # added share of `token_ms` with a full batch
    recompute_ms: float = 0.2  # for each answer token that a resume computes again
    cached_share: float = 0.8  # of the first token time saved by a fully cached prompt


class Batch:
    """Runs completions and remembers them."""

    def __init__(self, speed: Speed, slots: Slots, cache: PrefixCache, kv_store: KvStore) -> None:
        """Starts idle.

        :param speed: times.
        :param slots: places.
        :param cache: prompt prefixes.
        :param kv_store: KV of resumed requests.
        """
        self.works: collections.deque[Work] = collections.deque(maxlen=_JOURNAL_LIMIT)
        self._speed = speed
        self._slots = slots
        self._cache = cache
        self._kv_store = kv_store
        self._works_by_key: dict[tuple[str, int], Work] = {}

    @property
    def busy(self) -> int:
        """Returns the number of requests queued or running."""
        return len(self._works_by_key)

    @property
    def running(self) -> int:
        """Returns the number of requests running."""
        return self._slots.running

    def find(self, request_id: str, attempt: int) -> Work | None:
        """Returns a request in progress."""
        return self._works_by_key.get((request_id, attempt))

    def load(self) -> LoadReport:
        """Measures the load now."""
        works = self._works_by_key.values()
        per_token_s = self._token_s()
        return LoadReport(
            running=self._slots.running,
            queued=self._slots.queued,
            slots=self._slots.total,
            queued_tokens=sum(work.end - work.offset - work.computed for work in works),
            tokens_per_s=round(self._slots.running / per_token_s, 1) if per_token_s else 0,
            kv_used=min(1, round(self._slots.running / self._slots.total, 3)),
        )

    async def tokens(self, work: Work, slow: float = 1) -> AsyncIterator[tuple[int, str]]:
        """Computes the tokens of a request from its offset on.

        :param work: the request; its journal fields are kept up to date.
        :param slow: factor on all times of this request.
        """
        self.works.append(work)
        self._works_by_key[work.key] = work
        try:
            async with self._slots.hold(work.priority):
                async for numbered in self._compute(work, slow):
                    yield numbered
            work.finish('finished')
        finally:
            self._end(work)

    async def _compute(self, work: Work, slow: float) -> AsyncIterator[tuple[int, str]]:
        if work.done:
            return
        work.state = 'running'
        await asyncio.sleep(self._prefill_s(work) * slow)
        for index in range(work.offset, work.end):
            if work.done:
                return
            if index > work.offset:
                await asyncio.sleep(self._token_s() * slow)
            work.computed += 1
            yield index, answer.token(work.prompt_digest, index)

    def _end(self, work: Work) -> None:
        work.finish('disconnected')
        self._works_by_key.pop(work.key, None)
        self._kv_store.remember(work)

    def _prefill_s(self, work: Work) -> float:
        speed = self._speed
        work.recomputed = max(0, work.offset - self._kv_store.imported(work))
        work.cached_share = self._cache.use(work.prompt)
        prompt_ms = speed.first_token_ms * (1 - speed.cached_share * work.cached_share)
        return (prompt_ms + speed.recompute_ms * work.recomputed) * _MS

    def _token_s(self) -> float:
        others = max(0, self._slots.running - 1) / self._slots.total
        slowed = 1 + self._speed.batch_slowdown * others
        return self._speed.token_ms * slowed * _MS
