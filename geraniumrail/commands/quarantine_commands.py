"""`quarantines list` and `quarantines release`."""

import argparse
from typing import Any

from geraniumrail.commands.context import Context, add_client_options
from geraniumrail.commands.exit_codes import ExitCode
from geraniumrail.core.ids import new_id

BASE = '/v1/admin/quarantines'
COLUMNS = ('quarantine', 'failed_trials', 'next_trial', 'last_crash')


def add_parsers(commands: Any) -> None:
    """Adds the parsers.

    :param commands: sub-parsers of the program.
    """
    actions = commands.add_parser(
        'quarantines',
        help='requests that are held back because they crash backend servers',
        epilog='example: geraniumrail quarantines list',
    ).add_subparsers(required=True, metavar='ACTION')
    listing = actions.add_parser(
        'list',
        help='print the quarantines in force',
        epilog='example: geraniumrail quarantines list',
    )
    add_client_options(listing)
    listing.set_defaults(run=list_quarantines)
    release = actions.add_parser(
        'release',
        help='send such requests again until they crash further backend servers',
        epilog='example: geraniumrail quarantines release model-bench/first',
    )
    release.add_argument('quarantine', help='as printed by `quarantines list`')
    release.add_argument('--release-id', help='id for a safe resend; default: a new one')
    add_client_options(release)
    release.set_defaults(run=release_quarantine)


async def list_quarantines(args: argparse.Namespace) -> ExitCode:
    """Prints the quarantines.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    answer = await context.client.request('GET', BASE)
    context.output.table(answer['quarantines'], COLUMNS)
    return ExitCode.OK


async def release_quarantine(args: argparse.Namespace) -> ExitCode:
    """Ends a quarantine.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    body = {
        'release_id': args.release_id or new_id('release'),
        'quarantine': args.quarantine,
    }
    context.output.fields(await context.client.request('POST', f'{BASE}/release', body))
    return ExitCode.OK
