"""`get`, `set`, `load`, `explain` and `history`."""

import argparse
from typing import Any
from urllib.parse import urlencode

import yaml

from geraniumrail.commands.context import Context, add_client_options
from geraniumrail.commands.exit_codes import ExitCode
from geraniumrail.config.settings_file import SettingsFile
from geraniumrail.core.ids import new_id
from geraniumrail.errors.operator import BadAssignmentError

BASE = '/v1/admin/settings'


def add_parsers(commands: Any) -> None:
    """Adds the parsers.

    :param commands: sub-parsers of the program.
    """
    _add_get(commands)
    _add_set(commands)
    _add_load(commands)
    _add_explain(commands)
    _add_history(commands)


def _add_get(commands: Any) -> None:
    parser = commands.add_parser(
        'get',
        help='print a node of the settings tree, or all nodes',
        epilog='example: geraniumrail get /*/model-bench/chat',
    )
    parser.add_argument('path', nargs='?', help='path of the node')
    add_client_options(parser)
    parser.set_defaults(run=get)


def _add_set(commands: Any) -> None:
    parser = commands.add_parser(
        'set',
        help='change a node; answers when the change is in force everywhere',
        epilog='example: geraniumrail set /salon-a weight=2 tokens_per_s=20000 queue_limit=null',
    )
    parser.add_argument('path', help='path of the node')
    parser.add_argument('values', nargs='+', metavar='KEY=VALUE', help='null removes the override')
    parser.add_argument('--version', type=int, help='expected version; default: the present one')
    parser.add_argument('--change-id', help='id for a safe resend; default: a new one')
    add_client_options(parser)
    parser.set_defaults(run=change)


def _add_load(commands: Any) -> None:
    parser = commands.add_parser(
        'load',
        help='create the nodes of a settings file; loading it again changes nothing',
        epilog='example: geraniumrail load examples/koperasi-settings.yaml --change-id first',
    )
    parser.add_argument('file', help='YAML list of {path, values}')
    parser.add_argument('--change-id', default='load', help='prefix of the change ids')
    add_client_options(parser)
    parser.set_defaults(run=load)


def _add_explain(commands: Any) -> None:
    parser = commands.add_parser(
        'explain',
        help='print each effective value with the node and version that it comes from',
        epilog='example: geraniumrail explain --organisation salon-a --service model-bench',
    )
    parser.add_argument('--organisation', default='*')
    parser.add_argument('--service', default='')
    parser.add_argument('--route', default='')
    add_client_options(parser)
    parser.set_defaults(run=explain)


def _add_history(commands: Any) -> None:
    parser = commands.add_parser(
        'history',
        help='print the latest changes, of one node or of all',
        epilog='example: geraniumrail history /salon-a',
    )
    parser.add_argument('path', nargs='?', help='path of the node')
    add_client_options(parser)
    parser.set_defaults(run=history)


async def get(args: argparse.Namespace) -> ExitCode:
    """Prints nodes.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    if args.path is None:
        answer = await context.client.request('GET', BASE)
        context.output.table(answer['nodes'], ('path', 'version', 'values', 'operator'))
    else:
        context.output.fields(await _read(context, args.path))
    return ExitCode.OK


async def change(args: argparse.Namespace) -> ExitCode:
    """Changes a node.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    values = dict(_assignment(text) for text in args.values)
    version = args.version
    if version is None:
        version = (await _read(context, args.path))['version']
    body = {
        'change_id': args.change_id or new_id('change'),
        'path': args.path,
        'expected_version': version,
        'values': values,
    }
    context.output.fields(await context.client.request('PUT', BASE, body))
    return ExitCode.OK


async def load(args: argparse.Namespace) -> ExitCode:
    """Creates the nodes of a settings file.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    changes = SettingsFile.from_file(args.file, 'load', args.change_id).changes
    rows = [
        await context.client.request(
            'PUT',
            BASE,
            {
                'change_id': change.change_id,
                'path': change.path,
                'expected_version': change.expected_version,
                'values': change.values,
            },
        )
        for change in changes
    ]
    context.output.table(rows, ('path', 'version', 'revision', 'in_force'))
    return ExitCode.OK


async def explain(args: argparse.Namespace) -> ExitCode:
    """Prints effective values.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    query = urlencode(
        {
            'organisation': args.organisation,
            'service': args.service,
            'route': args.route,
        },
    )
    answer = await context.client.request('GET', f'{BASE}/explain?{query}')
    context.output.table(answer['values'], ('key', 'value', 'path', 'version'))
    return ExitCode.OK


async def history(args: argparse.Namespace) -> ExitCode:
    """Prints the latest changes.

    :param args: parsed options.
    """
    context = Context.from_args(args)
    query = f'?{urlencode({"path": args.path})}' if args.path else ''
    answer = await context.client.request('GET', f'{BASE}/history{query}')
    columns = ('change_id', 'path', 'operator', 'outcome', 'version', 'values')
    context.output.table(answer['changes'], columns)
    return ExitCode.OK


async def _read(context: Context, path: str) -> Any:
    query = urlencode({'path': path})
    return await context.client.request('GET', f'{BASE}?{query}')


def _assignment(text: str) -> tuple[str, Any]:
    key, separator, value = text.partition('=')
    if not separator or not key:
        raise BadAssignmentError(text=text)
    return key, yaml.safe_load(value)
