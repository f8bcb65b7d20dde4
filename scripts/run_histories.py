"""Runs the schedules of `geraniumrail.testing.schedules` and prints the seeds that failed."""

import argparse
import pathlib
import sys
import time

from absl import logging

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from geraniumrail.testing.schedules import SCHEDULES, Schedule  # noqa: E402


def run(schedule: Schedule, seeds: range) -> int:
    """Runs the seeds of one schedule and returns how many failed."""
    name, function = schedule
    started = time.monotonic()
    failed = 0
    for seed in seeds:
        try:
            function(seed)
        except Exception as error:  # noqa: BLE001
            failed += 1
            print(f'{name} seed {seed}: {error!r}', flush=True)
    elapsed_s = time.monotonic() - started
    print(f'{name}: seeds {seeds.start}-{seeds.stop - 1}, {failed} failed, {elapsed_s:.1f} s')
    return failed


def main() -> int:
    """Returns the exit code."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument('--runs', type=int, default=100)
    options.add_argument('--seed', type=int, default=0, help='first seed')
    options.add_argument('--only', help='name of one schedule')
    args = options.parse_args()
    logging.set_verbosity(logging.FATAL)
    seeds = range(args.seed, args.seed + args.runs)
    chosen = [schedule for schedule in SCHEDULES if args.only in {None, schedule[0]}]
    return 1 if sum(run(schedule, seeds) for schedule in chosen) else 0


if __name__ == '__main__':
    sys.exit(main())
