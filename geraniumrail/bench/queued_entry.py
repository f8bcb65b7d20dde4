"""Entries that queue jobs before they send them."""

import dataclasses
from collections.abc import Collection
from typing import Protocol

from geraniumrail.bench.fleet import Fleet
from geraniumrail.bench.job import Job
from geraniumrail.bench.load_model import (
    EXPECTED_ANSWER_TOKENS,
    FIRST_TOKEN_S,
    Choose,
    DirectEntry,
)
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.core.backend import Backend
from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.shedder import Shedder

BETWEEN_TOKENS_S = 0.059


class Queue(Protocol):
    """Interface of `FairQueue` and of the baselines."""

    def push(self, item: QueueItem, now: float) -> None:
        """Adds an item."""

    def pop(
        self, now: float, classes: Collection[str] | None = None, *, reserve_only: bool = False
    ) -> QueueItem | None:
        """Removes the next item of the given classes."""

    def finish(self, item_id: str, tokens: float, now: float) -> None:
        """Corrects the charge."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admission:
    """Parts that decide when a job is sent."""

    queue: Queue
    window: EngineWindow
    shedder: Shedder | None  # None: nothing is shed


class QueuedEntry(DirectEntry):
    """Sends from the queue while an engine window has room."""

    def __init__(
        self,
        number: int,
        choose: Choose,
        fleet: Fleet,
        time: VirtualTime,
        seed: int,
        admission: Admission,
    ) -> None:
        """Starts with an empty queue; the other parameters are those of `DirectEntry`.

        :param admission: order and time of sending.
        """
        super().__init__(number, choose, fleet, time, seed)
        self._queue = admission.queue
        self._window = admission.window
        self._shedder = admission.shedder
        self._jobs_by_id: dict[str, Job] = {}

    def observe(self, backend: Backend, now: float) -> None:
        """Takes in an announcement."""
        super().observe(backend, now)
        self._window.record_load(backend.instance, backend.load)

    def submit(self, job: Job) -> None:
        """Queues a job or sheds it."""
        item = QueueItem(
            item_id=job.job_id,
            organisation=job.organisation,
            traffic_class=job.traffic_class,
            tokens=job.prompt_tokens + EXPECTED_ANSWER_TOKENS,
            completion_bound_s=job.bound_s,
        )
        try:
            if self._shedder:
                self._shedder.check(item, self._queue)
            self._queue.push(item, self._time.now)
        except OverloadedError:
            job.shed = True
            return
        self._jobs_by_id[job.job_id] = job
        self._pump()

    def _open_engines(self, traffic_class: str) -> tuple[Backend, ...]:
        return tuple(
            backend
            for backend in self._fleet.backends
            if self._window.allows(backend.instance, traffic_class)
        )

    def _pump(self) -> None:
        while True:
            open_by_class = {name: self._open_engines(name) for name in ('chat', 'quick', 'review')}
            classes = [name for name, engines in open_by_class.items() if engines]
            reserve_only = self._window.reserve_only(self._fleet.engines_by_name)
            item = self._queue.pop(self._time.now, classes, reserve_only=reserve_only)
            if item is None:
                return
            if self._shedder:
                self._shedder.dispatch_rate.record(item.tokens, self._queue.depth(), self._time.now)
            job = self._jobs_by_id.pop(item.item_id)
            # The baselines do not tell classes apart.
            name = self._send(job, open_by_class[job.traffic_class] or open_by_class['chat'])
            self._window.record_sent(name, job.traffic_class)

    def _on_first(self, name: str, job: Job) -> None:
        unread = job.prompt_tokens - job.cached_tokens
        wait_s = self._time.now - job.sent_at - unread / self.knowledge.prefill_tokens_per_s
        self._window.record_first_token(name, wait_s, FIRST_TOKEN_S, self._time.now)

    def _on_finished(self, name: str, job: Job) -> None:
        self._window.record_finished(name, job.traffic_class)
        self._queue.finish(job.job_id, job.tokens, self._time.now)
        self._pump()
