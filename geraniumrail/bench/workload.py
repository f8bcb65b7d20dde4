"""Seeded arrivals of conversations."""

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable

from geraniumrail.bench.job import Job
from geraniumrail.bench.virtual_time import VirtualTime

_MAX_OPEN = 400
_MAX_TURN_TOKENS = 4000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Traffic:
    """Poisson arrivals of one organisation and class; each turn extends a conversation."""

    organisation: str
    traffic_class: str = 'chat'
    rate: float
    prompt_tokens: int = 256  # added by a turn
    answer_tokens: int = 150  # mean; exponential
    system_tokens: int = 512  # shared by the conversations of one kind
    kinds: int = 12
    continued: float = 0.6  # share of turns that extend an earlier conversation
    bound_s: float | None = None


class Workload:
    """Calls `submit` with each arriving job."""

    def __init__(
        self,
        traffic: Traffic,
        time: VirtualTime,
        rng: random.Random,
        submit: Callable[[Job], None],
        block_tokens: int = 64,
    ) -> None:
        """Schedules the first arrival.

        :param traffic: what arrives.
        :param time: event queue.
        :param rng: source of all draws.
        :param submit: takes the job.
        :param block_tokens: tokens of a prefix block.
        """
        self.jobs: list[Job] = []
        self._traffic = traffic
        self._time = time
        self._rng = rng
        self._submit = submit
        self._block_tokens = block_tokens
        self._numbers = itertools.count()
        self._open: collections.deque[tuple[str, ...]] = collections.deque(maxlen=_MAX_OPEN)
        self._schedule()

    def _schedule(self) -> None:
        self._time.after(self._rng.expovariate(self._traffic.rate), self._arrive)

    def _arrive(self) -> None:
        traffic, number = self._traffic, next(self._numbers)
        name = f'{traffic.organisation}.{traffic.traffic_class}.{number}'
        before = self._start()
        added = max(1, round(self._rng.expovariate(1 / traffic.prompt_tokens)))
        blocks = added // self._block_tokens
        prefixes = before + tuple(f'{name}.{block}' for block in range(blocks))
        job = Job(
            job_id=name,
            organisation=traffic.organisation,
            traffic_class=traffic.traffic_class,
            prefixes=prefixes,
            prompt_tokens=len(before) * self._block_tokens + added,
            answer_tokens=max(1, round(self._rng.expovariate(1 / traffic.answer_tokens))),
            arrived_at=self._time.now,
            bound_s=traffic.bound_s,
        )
        if job.prompt_tokens < _MAX_TURN_TOKENS:
            self._open.append(prefixes)
        self.jobs.append(job)
        self._submit(job)
        self._schedule()

    def _start(self) -> tuple[str, ...]:
        if self._open and self._rng.random() < self._traffic.continued:
            return self._rng.choice(self._open)
        # Kinds are used unevenly: the first ones most.
        kind = int(self._traffic.kinds * self._rng.random() ** 2)
        blocks = self._traffic.system_tokens // self._block_tokens
        prefix = f'{self._traffic.organisation}.{self._traffic.traffic_class}.kind{kind}'
        return tuple(f'{prefix}.{block}' for block in range(blocks))
