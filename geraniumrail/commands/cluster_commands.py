"""`servers`, `entries`, `members`, `drain`, `evacuate`, `order` and `status`."""

import argparse
from typing import Any

from geraniumrail.commands.context import Context, add_client_options
from geraniumrail.commands.exit_codes import ExitCode
from geraniumrail.core.ids import new_id

BASE = '/v1/admin'
SERVER_COLUMNS = ('instance', 'service', 'address', 'data_centre', 'version', 'state', 'running')
ENTRY_COLUMNS = ('entry', 'address', 'data_centre', 'state', 'applied_revision')
ORDER_KINDS = ('load_version', 'load_model', 'load_adapter', 'unload', 'set_role')
EVACUATION_COLUMNS = ('data_centre', 'operator', 'at')
MEMBER_COLUMNS = ('replica_id', 'address', 'voter', 'lag')


def add_parsers(commands: Any) -> None:
    """Adds the parsers.

    :param commands: sub-parsers of the program.
    """
    simple = (
        ('servers', 'print the announced backend servers', servers),
        ('entries', 'print the entries with a settings lease', entries),
        ('status', 'print the state of the first control member that answers', status),
    )
    for name, about, run in simple:
        parser = commands.add_parser(name, help=about, epilog=f'example: geraniumrail {name}')
        add_client_options(parser)
        parser.set_defaults(run=run)
    _add_drain(commands)
    _add_evacuate(commands)
    _add_members(commands)
    _add_order(commands)


def _add_drain(commands: Any) -> None:
    parser = commands.add_parser(
        'drain',
        help='send no new work to an entry or a backend server',
        epilog='example: geraniumrail drain engine-3; geraniumrail drain engine-3 --end',
    )
    parser.add_argument('target', help='name of the instance')
    parser.add_argument('--end', action='store_true', help='end the drain')
    add_client_options(parser)
    parser.set_defaults(run=drain)


def _add_evacuate(commands: Any) -> None:
    actions = commands.add_parser(
        'evacuate',
        help='send no requests to the backend servers of a data centre',
        epilog='example: geraniumrail evacuate start shah-alam',
    ).add_subparsers(required=True, metavar='ACTION')
    listing = actions.add_parser(
        'list',
        help='print the evacuated data centres',
        epilog='example: geraniumrail evacuate list',
    )
    add_client_options(listing)
    listing.set_defaults(run=evacuations)
    for action, about in (('start', 'start an evacuation'), ('finish', 'finish an evacuation')):
        parser = actions.add_parser(
            action, help=about, epilog=f'example: geraniumrail evacuate {action} shah-alam'
        )
        parser.add_argument('data_centre', help='name of the data centre')
        add_client_options(parser)
        parser.set_defaults(run=evacuate, action=action)


def _add_order(commands: Any) -> None:
    parser = commands.add_parser(
        'order',
        help='order an engine to load or unload something or to change its role',
        epilog='example: geraniumrail order engine-3 load_adapter quotations-2',
    )
    parser.add_argument('instance', help='name of the engine')
    parser.add_argument('kind', choices=ORDER_KINDS)
    parser.add_argument('name', help='version, model, adapter or role')
    parser.add_argument('--order-id', help='id for a safe resend; default: a new one')
    add_client_options(parser)
    parser.set_defaults(run=order)


def _add_members(commands: Any) -> None:
    actions = commands.add_parser(
        'members',
        help='members of the control group',
        epilog='example: geraniumrail members add 127.0.0.1:8204',
    ).add_subparsers(required=True, metavar='ACTION')
    listing = actions.add_parser(
        'list',
        help='print the members',
        epilog='example: geraniumrail members list',
    )
    add_client_options(listing)
    listing.set_defaults(run=members)
    changes = (
        ('init', None, 'create the group on the one member of --operators'),
        ('add', 'address', 'add the replica at an address of the peers as a learner'),
        ('promote', 'replica_id', 'make a learner a voter once it has caught up'),
        ('remove', 'replica_id', 'remove a member'),
    )
    for action, field, about in changes:
        example = f'example: geraniumrail members {action} {field or ""}'
        parser = actions.add_parser(action, help=about, epilog=example)
        if field:
            parser.add_argument(field)
        add_client_options(parser)
        parser.set_defaults(run=change_members, action=action, field=field)


async def servers(args: argparse.Namespace) -> ExitCode:
    """Prints the backend servers.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    answer = await context.client.request('GET', f'{BASE}/servers')
    context.output.table(answer['servers'], SERVER_COLUMNS)
    return ExitCode.OK


async def entries(args: argparse.Namespace) -> ExitCode:
    """Prints the entries.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    answer = await context.client.request('GET', f'{BASE}/entries')
    context.output.table(answer['entries'], ENTRY_COLUMNS)
    return ExitCode.OK


async def members(args: argparse.Namespace) -> ExitCode:
    """Prints the members of the group.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    answer = await context.client.request('GET', f'{BASE}/members')
    context.output.table(answer['members'], MEMBER_COLUMNS)
    return ExitCode.OK


async def change_members(args: argparse.Namespace) -> ExitCode:
    """Changes the members of the group.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    body = {'action': args.action}
    if args.field:
        body[args.field] = getattr(args, args.field)
    context.output.fields(await context.client.request('POST', f'{BASE}/members', body))
    return ExitCode.OK


async def drain(args: argparse.Namespace) -> ExitCode:
    """Starts or ends a drain.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    body = {'target': args.target, 'draining': not args.end}
    context.output.fields(await context.client.request('POST', f'{BASE}/drain', body))
    return ExitCode.OK


async def evacuations(args: argparse.Namespace) -> ExitCode:
    """Prints the evacuated data centres.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    answer = await context.client.request('GET', f'{BASE}/evacuations')
    context.output.table(answer['evacuations'], EVACUATION_COLUMNS)
    return ExitCode.OK


async def evacuate(args: argparse.Namespace) -> ExitCode:
    """Starts or finishes an evacuation.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    body = {'data_centre': args.data_centre, 'evacuated': args.action == 'start'}
    context.output.fields(await context.client.request('POST', f'{BASE}/evacuations', body))
    return ExitCode.OK


async def order(args: argparse.Namespace) -> ExitCode:
    """Gives an order to an engine.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    body = {
        'order_id': args.order_id or new_id('order'),
        'instance': args.instance,
        'kind': args.kind,
        'name': args.name,
    }
    context.output.fields(await context.client.request('POST', f'{BASE}/orders', body))
    return ExitCode.OK


async def status(args: argparse.Namespace) -> ExitCode:
    """Prints the state of a member.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    context.output.fields(await context.client.request('GET', f'{BASE}/status'))
    return ExitCode.OK
