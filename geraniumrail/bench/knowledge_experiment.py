"""Measures what routing loses when 320 entries know the load of 880 engines only in part.

Run: python -m geraniumrail.bench.knowledge_experiment --seeds 3
"""

import functools
import random
from collections.abc import Sequence

from geraniumrail.bench.engine_shape import EngineShape
from geraniumrail.bench.fleet import Fleet, Lag
from geraniumrail.bench.job import Job
from geraniumrail.bench.load_batch import FRAME_BYTES, packed_bytes, record_bytes
from geraniumrail.bench.scale_entry import BATCH_S, ScaleEntry, Spreader
from geraniumrail.bench.spread import NEAR_LOOSE, NEAR_TIGHT, Spread
from geraniumrail.bench.tables import Row, mean, parse_arguments, percentile, run_cases
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.bench.workload import Traffic, Workload
from geraniumrail.core.load_report import LoadReport

ENTRIES = 320
ENGINES = 880
LOAD = 0.95
PROMPT_TOKENS = 256
SYSTEM_TOKENS = 192
ANSWER_TOKENS = 150
WARM_UP_S = 18
# Half of 4 KB/s, as an entry passes on what it receives.
ONE_WAY_BYTES_PER_S = 2000
TYPICAL = LoadReport(
    running=14, queued=2, slots=16, queued_tokens=2345, tokens_per_s=345.6, kv_used=0.54
)
RECORD_PERIOD_S = ENGINES * record_bytes(TYPICAL) / ONE_WAY_BYTES_PER_S
PACKED_PERIOD_S = ENGINES * packed_bytes(TYPICAL, ENGINES) / ONE_WAY_BYTES_PER_S

SPREADS = {
    'perfect': Spread(perfect=True),
    'answers_only': Spread(),
    'all_plain_records': Spread(period_s=RECORD_PERIOD_S),
    'all_packed': Spread(period_s=PACKED_PERIOD_S),
    'subset_32_answers': Spread(subset=32),
    'subset_64_answers': Spread(subset=64),
    'subset_16_forward': Spread(subset=16, forward=True),
    'subset_32_forward': Spread(subset=32, forward=True),
    'near_32_answers': Spread(subset=32, far=8),
    'near_32_forward': Spread(subset=32, far=8, forward=True),
    'near_32_forward_rings': Spread(subset=32, far=8, forward=True, rings=NEAR_TIGHT),
    'rings_tight': Spread(rings=NEAR_TIGHT),
    'rings_loose': Spread(rings=NEAR_LOOSE),
}


def run(case: str, seed: int, seconds: float) -> Row:
    """Runs one way of spreading.

    :param case: name in `SPREADS`.
    :param seed: of all draws.
    :param seconds: virtual time after the warm-up.
    """
    spread, time, rng = SPREADS[case], VirtualTime(), random.Random(seed)
    fleet = Fleet(ENGINES, EngineShape(), Lag(), time, rng, data_centres=4)
    entries = [ScaleEntry(number, spread, fleet, time, seed) for number in range(ENTRIES)]
    spreader = Spreader(spread, fleet, entries, time)
    submit = functools.partial(_submit, rng, entries)
    workload = Workload(_traffic(), time, random.Random(seed), submit)
    time.run(WARM_UP_S)
    before = spreader.sent_bytes
    time.run(WARM_UP_S + seconds)
    sent = (spreader.sent_bytes - before) / seconds / ENTRIES + _background(spread)
    jobs = [job for job in workload.jobs if job.arrived_at > WARM_UP_S]
    return {
        **_measure(jobs, time.now),
        # Each daemon receives as much as it sends.
        'bytes/s per daemon': 0 if spread.perfect else 2 * sent,
    }


def _measure(jobs: Sequence[Job], end: float) -> Row:
    waits = [(job.first_token_at or end) - job.arrived_at for job in jobs]
    return {
        'requests': len(jobs),
        'first token mean s': mean(waits),
        'p95 s': percentile(waits, 0.95),
        'p99 s': percentile(waits, 0.99),
    }


def _traffic() -> Traffic:
    rate = EngineShape().request_rate(PROMPT_TOKENS + SYSTEM_TOKENS, ANSWER_TOKENS)
    return Traffic(
        organisation='org',
        rate=ENGINES * LOAD * rate,
        prompt_tokens=PROMPT_TOKENS,
        answer_tokens=ANSWER_TOKENS,
        system_tokens=SYSTEM_TOKENS,
        continued=0,
    )


def _submit(rng: random.Random, entries: Sequence[ScaleEntry], job: Job) -> None:
    rng.choice(entries).submit(job)


def _background(spread: Spread) -> float:
    """Returns bytes per second sent by each entry that the spreader does not count."""
    if spread.rings and not spread.forward:
        return FRAME_BYTES / BATCH_S
    if spread.period_s == RECORD_PERIOD_S or spread.period_s == PACKED_PERIOD_S:
        return ONE_WAY_BYTES_PER_S
    return 0


if __name__ == '__main__':
    run_cases(run, list(SPREADS), parse_arguments(__doc__, seconds=12))
