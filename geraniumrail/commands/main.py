"""The program `geraniumrail`."""

import argparse
import sys

import uvloop

from geraniumrail.commands import (
    cluster_commands,
    daemon_commands,
    move_commands,
    quarantine_commands,
    settings_commands,
)
from geraniumrail.commands.context import output_of
from geraniumrail.commands.exit_codes import ExitCode, exit_code_of
from geraniumrail.errors.base import GeraniumrailError

GROUPS = (
    daemon_commands,
    settings_commands,
    move_commands,
    cluster_commands,
    quarantine_commands,
)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the program."""
    codes = '\n'.join(f'  {code.value}  {code.about}' for code in ExitCode)
    parser = argparse.ArgumentParser(
        prog='geraniumrail',
        description='Serving system for language model and application traffic.',
        epilog=f'exit codes:\n{codes}\n\nexample: geraniumrail get /',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    for group in GROUPS:
        group.add_parsers(commands)
    return parser


def main(argv: list[str] | None = None) -> ExitCode:
    """Runs one command.

    :param argv: arguments; default those of the process.
    """
    args = build_parser().parse_args(argv)
    try:
        return uvloop.run(args.run(args))
    except GeraniumrailError as error:
        output_of(args).error(error)
        return exit_code_of(error)


def run() -> None:
    """Runs one command and exits with its code."""
    sys.exit(main())
