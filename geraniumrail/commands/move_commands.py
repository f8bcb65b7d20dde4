"""`move start`, `move status`, `move cancel` and `move wait`."""

import argparse
import asyncio
from typing import Any

from geraniumrail.commands.context import Context, add_client_options
from geraniumrail.commands.exit_codes import ExitCode
from geraniumrail.core.ids import new_id

BASE = '/v1/admin/moves'
COLUMNS = ('move_id', 'service', 'from_version', 'to_version', 'phase', 'share', 'reason')
POLL_S = 1.0


def add_parsers(commands: Any) -> None:
    """Adds the parsers.

    :param commands: sub-parsers of the program.
    """
    moves = commands.add_parser(
        'move',
        help='version moves',
        epilog='example: geraniumrail move start model-bench v2 --deadline-s 1800 --wait',
    ).add_subparsers(required=True, metavar='ACTION')
    start_parser = moves.add_parser(
        'start',
        help='move a service to a version by a deadline',
        epilog='example: geraniumrail move start model-bench v2 --deadline-s 1800',
    )
    start_parser.add_argument('service')
    start_parser.add_argument('version')
    start_parser.add_argument('--deadline-s', type=float, required=True)
    start_parser.add_argument('--move-id', help='id for a safe resend; default: a new one')
    start_parser.add_argument('--wait', action='store_true', help='wait for the recorded end')
    start_parser.set_defaults(run=start)
    status_parser = moves.add_parser(
        'status',
        help='print one move, or all',
        epilog='example: geraniumrail move status move-0123',
    )
    status_parser.add_argument('move_id', nargs='?')
    status_parser.set_defaults(run=status)
    cancel_parser = moves.add_parser(
        'cancel',
        help='cancel a running move',
        epilog='example: geraniumrail move cancel move-0123',
    )
    cancel_parser.add_argument('move_id')
    cancel_parser.set_defaults(run=cancel)
    wait_parser = moves.add_parser(
        'wait',
        help='wait for the recorded end of a move',
        epilog='example: geraniumrail move wait move-0123',
    )
    wait_parser.add_argument('move_id')
    wait_parser.set_defaults(run=wait)
    for parser in (start_parser, status_parser, cancel_parser, wait_parser):
        add_client_options(parser)


async def start(args: argparse.Namespace) -> ExitCode:
    """Starts a move.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    body = {
        'move_id': args.move_id or new_id('move'),
        'service': args.service,
        'to_version': args.version,
        'deadline_s': args.deadline_s,
    }
    move = await context.client.request('POST', BASE, body)
    if args.wait:
        return await _until_ended(context, move['move_id'])
    context.output.fields(move)
    return ExitCode.OK


async def status(args: argparse.Namespace) -> ExitCode:
    """Prints one move, or all.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    if args.move_id:
        context.output.fields(await context.client.request('GET', f'{BASE}/{args.move_id}'))
    else:
        answer = await context.client.request('GET', BASE)
        context.output.table(answer['moves'], COLUMNS)
    return ExitCode.OK


async def cancel(args: argparse.Namespace) -> ExitCode:
    """Cancels a move.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    context.output.fields(await context.client.request('DELETE', f'{BASE}/{args.move_id}'))
    return ExitCode.OK


async def wait(args: argparse.Namespace) -> ExitCode:
    """Waits for the recorded end of a move.

    :param args: parsed options.
    """
    return await _until_ended(Context.from_args(args), args.move_id)


async def _until_ended(context: Context, move_id: str) -> ExitCode:
    while True:
        move = await context.client.request('GET', f'{BASE}/{move_id}')
        if move['phase'] != 'running':
            break
        await asyncio.sleep(POLL_S)
    context.output.fields(move)
    return ExitCode.OK if move['phase'] == 'done' else ExitCode.TAKEN_BACK
