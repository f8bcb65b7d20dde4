"""Measures how shared prompt parts are placed on engines of equal and of different speed.

Run: python -m geraniumrail.bench.document_experiment --seeds 3
"""

import collections
import dataclasses
import math
import random

from geraniumrail.bench.document_entry import (
    DOCUMENT_BLOCKS,
    SYSTEM_BLOCKS,
    DocumentEntry,
    Documents,
)
from geraniumrail.bench.engine_shape import EngineShape
from geraniumrail.bench.fleet import Fleet, Lag
from geraniumrail.bench.tables import Row, mean, parse_arguments, percentile, run_cases
from geraniumrail.bench.virtual_time import VirtualTime

KV_TOKENS = 278_000
BLOCK_TOKENS = 630
SHAPE = EngineShape(
    slots=32,
    step_s=0.006,
    sequence_s=0.0005,
    prefill_tokens_per_s=20_000,
    cache_blocks=KV_TOKENS // BLOCK_TOKENS,
    block_tokens=BLOCK_TOKENS,
    kv_tokens=KV_TOKENS,
)
# Entries, engines and documents.
SIZES = {'4x9': (4, 9, 200), '23x70': (23, 70, 1500), '83x70': (83, 70, 1500)}
SPEEDS = {'alike': (1.0,), 'mixed': (0.6, 1.0, 1.6)}
REQUESTS_PER_ENGINE_S = 4.0
WARM_UP_S = 20
CASES = [f'{size} {speeds}' for size in SIZES for speeds in SPEEDS]


def run(case: str, seed: int, seconds: float) -> Row:
    """Runs one case.

    :param case: size and speeds.
    :param seed: of all draws.
    :param seconds: virtual time after the warm-up.
    """
    size, speeds = case.split()
    entry_count, engine_count, documents = SIZES[size]
    time, rng = VirtualTime(), random.Random(seed)
    lag = Lag(announce_s=1000, event_loss=1, relay_events=False)
    fleet = Fleet(engine_count, SHAPE, lag, time, rng, speeds=SPEEDS[speeds])
    entries = [
        DocumentEntry(number, entry_count, fleet, time, seed) for number in range(entry_count)
    ]
    for entry in entries:
        for backend in fleet.backends:
            entry.knowledge.observe(dataclasses.replace(backend, lease_s=math.inf), 0)
    rate = REQUESTS_PER_ENGINE_S * engine_count
    traffic = Documents(rate, documents, BLOCK_TOKENS, time, rng, entries)
    time.run(WARM_UP_S + seconds)
    jobs = [job for job in traffic.jobs if job.arrived_at > WARM_UP_S]
    waits = [(job.first_token_at or time.now) - job.arrived_at for job in jobs]
    shared = BLOCK_TOKENS * (SYSTEM_BLOCKS + DOCUMENT_BLOCKS)
    again = sum(shared - min(shared, job.cached_tokens) for job in jobs)
    chosen = collections.Counter(job.engine for job in jobs)
    return {
        'requests': len(jobs),
        'first token p50 s': percentile(waits, 0.5),
        'p95 s': percentile(waits, 0.95),
        'shared read again': again / (shared * len(jobs)),
        'busiest to mean': max(chosen.values()) / mean(chosen[name] for name in fleet.names),
    }


if __name__ == '__main__':
    run_cases(run, CASES, parse_arguments(__doc__, seconds=30))
