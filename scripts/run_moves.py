"""Runs version moves through processes and prints one line for each."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from geraniumrail.testing.moves import CASES, run_case  # noqa: E402


async def main() -> int:
    """Runs the chosen cases one after the other."""
    names = [case.name for case in CASES]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('cases', nargs='*', help=', '.join(names))
    parser.add_argument('--keep', type=pathlib.Path, help='folder for the logs')
    parser.add_argument('--runs', type=int, default=1)
    args = parser.parse_args()
    failed = 0
    with tempfile.TemporaryDirectory(prefix='geraniumrail-moves-') as temporary:
        base = args.keep or pathlib.Path(temporary)
        for number in range(args.runs):
            for case in CASES:
                if args.cases and case.name not in args.cases:
                    continue
                folder = base / f'{case.name}-{number}'
                folder.mkdir(parents=True)
                report = await run_case(folder, case)
                print(report, flush=True)
                failed += bool(report.problems)
    print(f'{failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
