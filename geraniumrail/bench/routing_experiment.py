"""Compares routing choices on fake engines: time to the first token and prefix reuse.

Run: python -m geraniumrail.bench.routing_experiment --seeds 10
"""

import itertools
import random
from collections.abc import Callable

from geraniumrail.bench.engine_shape import EngineShape
from geraniumrail.bench.fleet import Fleet, Lag
from geraniumrail.bench.job import Job
from geraniumrail.bench.load_model import FIRST_TOKEN_S, Choose, DirectEntry
from geraniumrail.bench.tables import Row, mean, parse_arguments, percentile, run_cases
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.bench.workload import Traffic, Workload
from geraniumrail.routing import baselines
from geraniumrail.routing.choice import choose

SIZES = {'4x9': (4, 9), '40x90': (40, 90)}
LOADS_BY_SIZE = {'4x9': ('0.6', '0.85', '0.95'), '40x90': ('0.85',)}
# Mean prompt tokens that are read with a good choice; with a bad one the load is higher.
EXPECTED_PREFILL_TOKENS = 450
ANSWER_TOKENS = 150
WARM_UP_S = 20

CHOICES: dict[str, Callable[[], Choose]] = {
    'choose': lambda: choose,
    'round_robin': baselines.round_robin,
    'least_reported_load': lambda: baselines.least_reported_load,
}
CASES = [
    f'{size} {load} {name}'
    for size, loads in LOADS_BY_SIZE.items()
    for load, name in itertools.product(loads, CHOICES)
]


def run(case: str, seed: int, seconds: float) -> Row:
    """Runs one case.

    :param case: size, load and name of the choice.
    :param seed: of all draws.
    :param seconds: virtual time after the warm-up.
    """
    size, load, name = case.split()
    entry_count, engine_count = SIZES[size]
    shape = EngineShape()
    rate = engine_count * float(load) * shape.request_rate(EXPECTED_PREFILL_TOKENS, ANSWER_TOKENS)
    time, rng = VirtualTime(), random.Random(seed)
    fleet = Fleet(engine_count, shape, Lag(relay_events=size == '4x9'), time, rng)
    entries = [
        DirectEntry(number, CHOICES[name](), fleet, time, seed) for number in range(entry_count)
    ]
    fleet.announce_to(entries)

    workload = Workload(
        Traffic(organisation='org', rate=rate, answer_tokens=ANSWER_TOKENS),
        time,
        random.Random(seed),
        lambda job: rng.choice(entries).submit(job),
    )
    time.run(WARM_UP_S + seconds)
    return _measure([job for job in workload.jobs if job.arrived_at > WARM_UP_S], time.now)


def _measure(jobs: list[Job], end: float) -> Row:
    # A job without a first token counts with its wait so far.
    waits = [(job.first_token_at or end) - job.arrived_at for job in jobs]
    answered = [job for job in jobs if job.finished_at is not None]
    return {
        'requests': len(jobs),
        'first token mean s': mean(waits),
        'p95 s': percentile(waits, 0.95),
        'p99 s': percentile(waits, 0.99),
        'in 0.51 s': mean(wait <= FIRST_TOKEN_S for wait in waits),
        'prompt cached': sum(job.cached_tokens for job in jobs)
        / sum(job.prompt_tokens for job in jobs),
        'answer mean s': mean(job.finished_at - job.arrived_at for job in answered),
    }


if __name__ == '__main__':
    run_cases(run, CASES, parse_arguments(__doc__, seconds=60))
