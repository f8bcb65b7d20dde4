"""Stand-in application service: `python -m geraniumrail.standins.service --help`."""

import argparse

from geraniumrail.standins.process import add_server_options, run, serve_until
from geraniumrail.standins.service_server import Service


def parser() -> argparse.ArgumentParser:
    """Returns the command line of the service."""
    options = argparse.ArgumentParser(prog='geraniumrail.standins.service', description=__doc__)
    add_server_options(options)
    add = options.add_argument
    add('--work-ms', type=float, default=30, help='time that a booking or order takes')
    add('--read-ms', type=float, default=5, help='time that a stock lookup takes')
    add('--dedupe', action='store_true', help='run the same key only once')
    add('--ledger', default=':memory:', help='database file shared by the instances')
    add('--outcomes', action=argparse.BooleanOptionalAction, default=True)
    return options


async def main(args: argparse.Namespace) -> None:
    """Runs one service.

    :param args: parsed command line.
    """
    service = Service(args)
    serving = await service.start()
    await serve_until(serving, service.departure.stopped, service.leave)


if __name__ == '__main__':
    run(main, parser().parse_args())
