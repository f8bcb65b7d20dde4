"""Percentiles, text tables, CSV files and repetition over seeds for the experiments."""

import argparse
import csv
import itertools
import math
import pathlib
import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor

Row = Mapping[str, str | float]
DEFAULT_SEEDS = 10
DEFAULT_WORKERS = 3


def percentile(values: Iterable[float], share: float) -> float:
    """Returns the value at a share of the sorted values, by nearest rank; NaN if there are none.

    :param values: any order.
    :param share: 0 to 1.
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def weighted_percentile(weights_by_value: Mapping[float, float], share: float) -> float:
    """Returns the value below which the given share of the weight lies.

    :param weights_by_value: value -> weight.
    :param share: 0 to 1.
    """
    mark = share * sum(weights_by_value.values())
    for value in sorted(weights_by_value):
        mark -= weights_by_value[value]
        if mark <= 0:
            return value
    return math.nan


def mean(values: Iterable[float]) -> float:
    """Returns the mean, or NaN if there are no values.

    :param values: numbers.
    """
    collected = list(values)
    return statistics.fmean(collected) if collected else math.nan


def parse_arguments(description: str, seconds: float) -> argparse.Namespace:
    """Reads the command line that the experiments share.

    :param description: for --help.
    :param seconds: default of --seconds.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--seeds', type=int, default=DEFAULT_SEEDS, help='number of seeds')
    parser.add_argument('--first-seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=seconds, help='virtual time of a run')
    parser.add_argument('--workers', type=int, default=DEFAULT_WORKERS, help='parallel runs')
    parser.add_argument('--csv', type=pathlib.Path, help='write one line for each run')
    parser.add_argument('--only', default='', help='run only the cases whose name has this part')
    return parser.parse_args()


def run_cases(
    run: Callable[[str, int, float], Row],
    cases: Sequence[str],
    options: argparse.Namespace,
) -> None:
    """Runs each case with each seed and prints the mean and spread over seeds.

    :param run: called with case, seed and seconds; returns the measures of one run.
    :param cases: names.
    :param options: result of `parse_arguments`.
    """
    chosen = [case for case in cases if options.only in case]
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    plan = list(itertools.product(chosen, seeds))
    with ProcessPoolExecutor(options.workers) as pool:
        futures = [pool.submit(run, case, seed, options.seconds) for case, seed in plan]
        rows = [
            {'case': case, 'seed': seed, **future.result()}
            for (case, seed), future in zip(plan, futures, strict=True)
        ]
    if options.csv:
        _write_csv(options.csv, rows)
    _print_table(chosen, rows)


def _write_csv(path: pathlib.Path, rows: Sequence[Row]) -> None:
    with path.open('w', newline='') as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def _print_table(cases: Sequence[str], rows: Sequence[Row]) -> None:
    measures = [name for name in rows[0] if name not in {'case', 'seed'}]
    lines = [('case', *measures)]
    for case in cases:
        columns = [[row[name] for row in rows if row['case'] == case] for name in measures]
        lines.append((case, *map(_cell, columns)))
    print('mean over seeds (lowest to highest)')  # noqa: WPS421 - the output of a command
    for line in lines:
        print('|', ' | '.join(line), '|')  # noqa: WPS421
        if line is lines[0]:
            print('|', ' | '.join('---' for _ in line), '|')  # noqa: WPS421


def _cell(column: Sequence[float]) -> str:
    return f'{mean(column):.3g} ({min(column):.3g} to {max(column):.3g})'
