"""Measures version moves against fixed steps; `python -m geraniumrail.bench.move_experiment`."""

import argparse
import itertools
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor

from absl import logging

from geraniumrail.bench import move_kinds
from geraniumrail.bench.move_simulation import Outcome, Simulation
from geraniumrail.bench.table import publish
from geraniumrail.rollout.end_reason import EndPhase, EndReason

COLUMNS = (
    'decider',
    'engines',
    'kind',
    'moves',
    'right',
    'taken back',
    'at deadline',
    'missed',
    'not shown',
    'median s to done',
    'median s fault to end',
    'p95 s fault to end',
    'breaker first in',
    'median s breaker',
    'p95 s breaker',
    'median faults to breaker',
    'median faulty answers',
    'faulty answers %',
    'bad traffic %',
)


def run_one(job: tuple[str, int, int, bool]) -> Outcome:
    """Plays one move.

    :param job: kind, engines, seed and whether it is the baseline.
    """
    kind, engines, seed, baseline = job
    logging.set_verbosity(logging.ERROR)
    return Simulation(move_kinds.make(kind, engines, seed), baseline=baseline).run()


def summarise(outcomes: list[Outcome], decider: str) -> dict[str, object]:
    """Returns one row of the table.

    :param outcomes: moves of one kind.
    :param decider: ours or the baseline.
    """
    scenario = outcomes[0].scenario
    done = [one.ended_at for one in outcomes if one.end == EndPhase.done]
    shown = [one for one in outcomes if scenario.faulty and one.shown_at is not None]
    stops = [one.ended_at - one.shown_at for one in shown if one.end == EndPhase.taken_back]
    delays = [delay for one in shown for delay in one.breaker_delays]
    samples = [count for one in shown for count in one.breaker_samples]
    taken_back = [one for one in outcomes if one.end == EndPhase.taken_back]
    late = [one for one in taken_back if one.reason == EndReason.deadline]
    sent = sum(one.sent_after_onset for one in shown)
    figures = (
        decider,
        scenario.engines,
        scenario.kind,
        len(outcomes),
        sum(one.is_right for one in outcomes),
        len(taken_back),
        len(late),
        sum(one.end == EndPhase.done for one in shown),
        len(outcomes) - len(shown) if scenario.faulty else '',
        _median(done),
        _median(stops),
        _p95(stops),
        sum(bool(one.breaker_delays) for one in shown),
        _median(delays),
        _p95(delays),
        _median(samples),
        _median(one.faulty for one in shown),
        _percent(sum(one.faulty for one in shown), sum(one.requests for one in shown)),
        _percent(sum(one.new_after_onset for one in shown), sent),
    )
    return dict(zip(COLUMNS, figures, strict=True))


def _median(numbers: Iterable[float]) -> float | str:
    ordered = sorted(numbers)
    return round(statistics.median(ordered), 1) if ordered else ''


def _p95(numbers: Iterable[float]) -> float | str:
    ordered = sorted(numbers)
    last = len(ordered) - 1
    return round(ordered[min(last, len(ordered) * 95 // 100)], 1) if ordered else ''


def _percent(part: int, whole: int) -> float | str:
    return round(100 * part / whole, 2) if whole else ''


def main() -> None:
    """Runs the experiment and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--moves', type=int, default=200, help='moves of each kind')
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--engines', type=int, nargs='+', default=[3, 9])
    parser.add_argument('--kinds', nargs='+', default=list(move_kinds.KINDS))
    parser.add_argument('--deciders', nargs='+', default=['evidence', 'fixed steps'])
    parser.add_argument('--workers', type=int, default=4)
    parser.add_argument('--csv', help='file for the table')
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.moves)
    rows = []
    with ProcessPoolExecutor(options.workers) as pool:
        for decider, engines, kind in itertools.product(
            options.deciders, options.engines, options.kinds
        ):
            jobs = [(kind, engines, seed, decider == 'fixed steps') for seed in seeds]
            outcomes = list(pool.map(run_one, jobs, chunksize=5))
            rows.append(summarise(outcomes, decider))
    publish(rows, options.csv)


if __name__ == '__main__':
    main()
