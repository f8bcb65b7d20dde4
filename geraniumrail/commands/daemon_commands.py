"""`run`, `check` and `new-key`."""

import argparse
from typing import Any

from absl import flags, logging

from geraniumrail.commands.context import output_of
from geraniumrail.commands.exit_codes import ExitCode
from geraniumrail.commands.output import add_json_option
from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.config.keys import hash_key, new_key
from geraniumrail.config.settings_file import SettingsFile


def add_parsers(commands: Any) -> None:
    """Adds the parsers.

    :param commands: sub-parsers of the program.
    """
    run_parser = commands.add_parser(
        'run',
        help='run a daemon',
        epilog='example: geraniumrail run --config examples/koperasi-entry-1.yaml',
    )
    run_parser.add_argument('--config', required=True, help='YAML file of the daemon')
    run_parser.set_defaults(run=run_daemon)
    check_parser = commands.add_parser(
        'check',
        help='check the YAML file of a daemon, or a settings file with --settings',
        epilog='example: geraniumrail check --settings examples/koperasi-settings.yaml',
    )
    check_parser.add_argument('file')
    check_parser.add_argument('--settings', action='store_true', help='it holds settings nodes')
    check_parser.set_defaults(run=check)
    key_parser = commands.add_parser(
        'new-key',
        help='print a new API key and the digest for the settings file',
        epilog='example: geraniumrail new-key',
    )
    key_parser.set_defaults(run=print_key)
    for parser in (run_parser, check_parser, key_parser):
        add_json_option(parser)


async def run_daemon(args: argparse.Namespace) -> ExitCode:
    """Runs a daemon until a signal.

    :param args: parsed options.
    """
    from geraniumrail.daemon.daemon import Daemon

    config = DaemonConfig.from_file(args.config)
    flags.FLAGS.mark_as_parsed()  # absl warns before each line that its flags are not parsed
    logging.use_absl_handler()
    logging.set_verbosity(config.log_level)
    await Daemon.from_config(config).run()
    return ExitCode.OK


async def check(args: argparse.Namespace) -> ExitCode:
    """Checks a file.

    :param args: parsed options.
    """
    if args.settings:
        changes = SettingsFile.from_file(args.file, 'check', 'check').changes
        found: dict[str, object] = {'file': args.file, 'nodes': len(changes)}
    else:
        config = DaemonConfig.from_file(args.file)
        found = {
            'file': args.file,
            'instance': config.instance,
            'roles': sorted(config.roles),
            'keys': len(config.keys),
        }
    output_of(args).fields(found)
    return ExitCode.OK


async def print_key(args: argparse.Namespace) -> ExitCode:
    """Prints a new API key.

    :param args: parsed options.
    """
    key = new_key()
    output_of(args).fields({'key': key, 'sha256': hash_key(key)})
    return ExitCode.OK
