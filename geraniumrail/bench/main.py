"""The command `geraniumrail-bench`: lists and runs the experiments."""

import argparse
import pathlib
import runpy
import sys
from collections.abc import Sequence
from importlib import util

PACKAGE = 'geraniumrail.bench'
_MAIN = "if __name__ == '__main__':"


def experiments() -> dict[str, str]:
    """Returns the first line of the description of each experiment, by name."""
    folder = pathlib.Path(__file__).parent
    sources_by_name = {
        file.stem: file.read_text() for file in sorted(folder.glob('*.py')) if file.stem != 'main'
    }
    return {
        name: source.partition('\n')[0].strip('"')
        for name, source in sources_by_name.items()
        if _MAIN in source and not name.endswith('_test')
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command and returns its exit code.

    :param arguments: of the command line.
    """
    parser = argparse.ArgumentParser(prog='geraniumrail-bench', description=__doc__)
    commands = parser.add_subparsers(dest='command', required=True)
    commands.add_parser('list', help='names and describes the experiments')
    runs = commands.add_parser('run', help='runs one experiment')
    runs.add_argument('name', help='as `list` names it')
    runs.add_argument('options', nargs=argparse.REMAINDER, help='of the experiment')
    args = parser.parse_args(arguments)
    known = experiments()
    if args.command == 'list':
        sys.stdout.writelines(f'{name:24} {text}\n' for name, text in known.items())
        return 0
    if args.name not in known:
        parser.error(f'{args.name}: no such experiment; see geraniumrail-bench list')
    if util.find_spec('psutil') is None:
        parser.error("experiments need the packages of geraniumrail's extra `test`")
    sys.argv = [args.name, *args.options]
    runpy.run_module(f'{PACKAGE}.{args.name}', run_name='__main__', alter_sys=True)
    return 0


def run() -> None:
    """Entry point of the installed command."""
    sys.exit(main())
