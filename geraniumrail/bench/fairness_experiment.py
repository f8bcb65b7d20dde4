"""Compares queues while large organisations ask for twice the capacity.

Run: python -m geraniumrail.bench.fairness_experiment --seeds 10
"""

import collections
import functools
import random
from collections.abc import Callable, Sequence

from geraniumrail.bench.engine_shape import EngineShape
from geraniumrail.bench.fleet import Fleet, Lag
from geraniumrail.bench.job import Job
from geraniumrail.bench.load_model import FIRST_TOKEN_S
from geraniumrail.bench.queue_baselines import FifoQueue, RoundRobinQueue
from geraniumrail.bench.queued_entry import Admission, Queue, QueuedEntry
from geraniumrail.bench.tables import (
    Row,
    mean,
    parse_arguments,
    percentile,
    run_cases,
    weighted_percentile,
)
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.bench.workload import Traffic, Workload
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.fair_queue import FairQueue
from geraniumrail.fairness.shedder import Shedder
from geraniumrail.routing.choice import choose

ENTRIES = 4
ENGINES = 9
WARM_UP_S = 20
REVIEW_BOUND_S = 120
SMALL = 'small'
# Traffic as shares of the pool's capacity; together the two large ones ask for twice of it.
CAPACITY_SHARES = (
    ('large-chat', 'chat', 1.0, 256, 150),
    ('large-mixed', 'chat', 0.4, 256, 150),
    ('large-mixed', 'quick', 0.4, 256, 150),
    ('large-mixed', 'review', 0.2, 1500, 400),
    (SMALL, 'chat', 0.05, 256, 150),
    (SMALL, 'review', 0.02, 1500, 400),
)
QUEUES: dict[str, Callable[[], Queue]] = {
    'fair_queue': FairQueue,
    'fifo': FifoQueue,
    'round_robin': RoundRobinQueue,
}


def run(case: str, seed: int, seconds: float) -> Row:
    """Runs one case.

    :param case: name of the queue.
    :param seed: of all draws.
    :param seconds: virtual time after the warm-up.
    """
    shape = EngineShape()
    time, rng = VirtualTime(), random.Random(seed)
    fleet = Fleet(ENGINES, shape, Lag(), time, rng)
    entries = [
        QueuedEntry(
            number,
            choose,
            fleet,
            time,
            seed,
            Admission(
                queue=QUEUES[case](),
                window=EngineWindow(shape.slots / ENTRIES),
                shedder=Shedder() if case == 'fair_queue' else None,
            ),
        )
        for number in range(ENTRIES)
    ]
    fleet.announce_to(entries)
    submit = functools.partial(_submit, rng, entries)
    workloads = [
        Workload(traffic, time, random.Random(seed * 31 + number), submit)
        for number, traffic in enumerate(_traffic(shape))
    ]
    time.run(WARM_UP_S)
    for engine in fleet.engines_by_name.values():
        engine.tokens_by_gap.clear()
    time.run(WARM_UP_S + seconds)
    jobs = [job for each in workloads for job in each.jobs if job.arrived_at > WARM_UP_S]
    return _measure(jobs, fleet, time.now)


def _submit(rng: random.Random, entries: Sequence[QueuedEntry], job: Job) -> None:
    rng.choice(entries).submit(job)


def _traffic(shape: EngineShape) -> list[Traffic]:
    return [
        Traffic(
            organisation=organisation,
            traffic_class=traffic_class,
            # Two thirds of the prompts are cached at best; see `EXPECTED_PREFILL_TOKENS`.
            rate=share * ENGINES * shape.request_rate(prompt * 1.5, answer),
            prompt_tokens=prompt,
            answer_tokens=answer,
            bound_s=REVIEW_BOUND_S if traffic_class == 'review' else None,
        )
        for organisation, traffic_class, share, prompt, answer in CAPACITY_SHARES
    ]


def _measure(jobs: list[Job], fleet: Fleet, end: float) -> Row:
    small = [job for job in jobs if (job.organisation, job.traffic_class) == (SMALL, 'chat')]
    waits = [(job.first_token_at or end) - job.arrived_at for job in small if not job.shed]
    # The last reviews have not reached their bound when the run ends.
    due = [job for job in jobs if job.bound_s and job.arrived_at + job.bound_s <= end]
    tokens_by_gap: collections.Counter[float] = collections.Counter()
    for engine in fleet.engines_by_name.values():
        for (organisation, gap_ms), tokens in engine.tokens_by_gap.items():
            tokens_by_gap[gap_ms] += tokens if organisation == SMALL else 0
    answered = collections.Counter(job.organisation for job in jobs if job.finished_at)
    return {
        'small first token p95 s': percentile(waits, 0.95),
        'small in 0.51 s': mean(wait <= FIRST_TOKEN_S for wait in waits),
        'small between tokens p95 ms': weighted_percentile(tokens_by_gap, 0.95),
        'small shed': mean(job.shed for job in small),
        'small reviews in bound': _in_bound([job for job in due if job.organisation == SMALL]),
        'accepted large reviews in bound': _in_bound(
            [job for job in due if job.organisation != SMALL and not job.shed]
        ),
        'large reviews shed': mean(job.shed for job in due if job.organisation != SMALL),
        'answers large-chat / large-mixed': answered['large-chat'] / answered['large-mixed'],
        'answered tokens per s': sum(job.answer_tokens for job in jobs if job.finished_at)
        / (end - WARM_UP_S),
    }


def _in_bound(reviews: list[Job]) -> float:
    return mean(
        job.finished_at is not None and job.finished_at - job.arrived_at <= REVIEW_BOUND_S
        for job in reviews
    )


if __name__ == '__main__':
    run_cases(run, list(QUEUES), parse_arguments(__doc__, seconds=240))
