"""An engine with approximated continuous batching, in virtual time."""

import collections
import functools
import heapq
import itertools
from collections.abc import Callable

from geraniumrail.bench.block_cache import BlockCache
from geraniumrail.bench.engine_shape import EngineShape
from geraniumrail.bench.job import Job
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.core.load_report import LoadReport

_RANK_BY_CLASS = {'chat': 0, 'quick': 1, 'review': 2}
_MS = 1000

Done = Callable[[Job], None]


class FakeEngine:
    """Jobs take free slots by class; one prompt is read at a time; all slots decode alike."""

    def __init__(self, name: str, shape: EngineShape, time: VirtualTime) -> None:
        """Starts idle.

        :param name: instance.
        :param shape: speed and size.
        :param time: event queue.
        """
        self.name = name
        self.shape = shape
        self.cache = BlockCache(shape.cache_blocks)
        # (organisation, gap in ms) -> tokens
        self.tokens_by_gap: collections.Counter[tuple[str, float]] = collections.Counter()
        self._time = time
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Job, Done, Done]] = []
        self._prefill: collections.deque[tuple[Job, Done, Done]] = collections.deque()
        self._running: list[tuple[float, int, Job, Done]] = []  # by progress at which they end
        self._progress: float = 0  # tokens decoded by each slot so far
        self._seen_at: float = 0
        self._wake = 0

    def submit(self, job: Job, on_first: Done, on_done: Done) -> None:
        """Adds a job.

        :param job: request.
        :param on_first: called at the first token.
        :param on_done: called at the last token.
        """
        entry = (_RANK_BY_CLASS[job.traffic_class], next(self._numbers), job, on_first, on_done)
        heapq.heappush(self._waiting, entry)
        self._advance()
        self._admit()

    def report(self) -> LoadReport:
        """Returns the load now."""
        self._advance()
        active = [job for _, _, job, _ in self._running] + [job for job, _, _ in self._prefill]
        unread = [job for job, _, _ in self._prefill] + [each[2] for each in self._waiting]
        left = sum(end - self._progress for end, _, _, _ in self._running)
        return LoadReport(
            running=len(active),
            queued=len(self._waiting),
            slots=self.shape.slots,
            queued_tokens=int(left) + sum(job.tokens for job in unread),
            tokens_per_s=len(self._running) / self._step_s(),
            kv_used=min(1, sum(job.tokens for job in active) / self.shape.kv_tokens),
        )

    @property
    def load(self) -> int:
        """Jobs waiting and active."""
        return len(self._waiting) + len(self._prefill) + len(self._running)

    def _step_s(self) -> float:
        step_s = self.shape.step_s + self.shape.sequence_s * len(self._running)
        return step_s * (self.shape.prefill_factor if self._prefill else 1)

    def _advance(self) -> None:
        elapsed = self._time.now - self._seen_at
        self._seen_at = self._time.now
        if elapsed <= 0 or not self._running:
            return
        tokens = elapsed / self._step_s()
        self._progress += tokens
        gap_ms = round(self._step_s() * _MS, 1)
        for _, _, job, _ in self._running:
            self.tokens_by_gap[job.organisation, gap_ms] += tokens

    def _admit(self) -> None:
        idle = not self._prefill
        while self._waiting and len(self._prefill) + len(self._running) < self.shape.slots:
            self._prefill.append(heapq.heappop(self._waiting)[2:])
        if idle and self._prefill:
            self._read_prompt()
        self._schedule_end()

    def _read_prompt(self) -> None:
        job = self._prefill[0][0]
        job.cached_tokens = self.cache.cached(job.prefixes) * self.shape.block_tokens
        unread = max(1, job.prompt_tokens - job.cached_tokens)
        self._time.after(unread / self.shape.prefill_tokens_per_s, self._prompt_read)

    def _prompt_read(self) -> None:
        self._advance()
        job, on_first, on_done = self._prefill.popleft()
        self.cache.add(job.prefixes)
        end = self._progress + job.answer_tokens
        heapq.heappush(self._running, (end, next(self._numbers), job, on_done))
        on_first(job)
        if self._prefill:
            self._read_prompt()
        self._admit()

    def _schedule_end(self) -> None:
        self._wake += 1
        if self._running:
            left = max(0, self._running[0][0] - self._progress)
            self._time.after(left * self._step_s(), functools.partial(self._end, self._wake))

    def _end(self, wake: int) -> None:
        if wake != self._wake:
            return  # the batch has changed since, which scheduled another call
        self._advance()
        while self._running and self._running[0][0] <= self._progress + 1e-6:
            _, _, job, on_done = heapq.heappop(self._running)
            on_done(job)
        self._admit()
