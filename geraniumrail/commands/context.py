"""What every command that talks to control members needs."""

import argparse
import dataclasses
import os
import ssl
import sys

from geraniumrail.commands.operator_client import OperatorClient, Patience
from geraniumrail.commands.output import Output, add_json_option
from geraniumrail.errors.operator import MissingOptionError

OPERATORS_VARIABLE = 'GERANIUMRAIL_OPERATORS'
KEY_VARIABLE = 'GERANIUMRAIL_KEY'


@dataclasses.dataclass(frozen=True)
class Context:
    """Client and output of one command."""

    client: OperatorClient
    output: Output

    @classmethod
    def from_args(cls, args: argparse.Namespace) -> 'Context':
        """Creates the client from options and environment.

        :param args: parsed options.
        :raises MissingOptionError: without addresses or key.
        """
        if not args.operators:
            raise MissingOptionError(option='--operators', variable=OPERATORS_VARIABLE)
        if not args.key:
            raise MissingOptionError(option='--key', variable=KEY_VARIABLE)
        tls = ssl.create_default_context(cafile=args.tls_authority) if args.tls_authority else None
        client = OperatorClient.from_addresses(
            [address for address in args.operators.split(',') if address],
            args.key,
            tls=tls,
            patience=Patience(attempt_s=args.attempt_s, total_s=args.limit_s),
        )
        return cls(client, output_of(args))


def output_of(args: argparse.Namespace) -> Output:
    """Returns the output of a command.

    :param args: parsed options.
    """
    return Output(stream=sys.stdout, errors=sys.stderr, as_json=args.json)


def add_client_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of commands that talk to control members.

    :param parser: parser of a command.
    """
    add_json_option(parser)
    parser.add_argument(
        '--operators',
        default=os.environ.get(OPERATORS_VARIABLE, ''),
        help=f'ip:port of the control members, separated by commas (or {OPERATORS_VARIABLE})',
    )
    parser.add_argument(
        '--key',
        default=os.environ.get(KEY_VARIABLE, ''),
        help=f'API key of the operator (or {KEY_VARIABLE})',
    )
    parser.add_argument('--tls-authority', default='', help='PEM file; use https and check it')
    parser.add_argument('--attempt-s', type=float, default=10, help='limit of one attempt')
    parser.add_argument('--limit-s', type=float, default=30, help='limit of the command')
