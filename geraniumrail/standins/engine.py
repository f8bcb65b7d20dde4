"""Stand-in engine: `python -m geraniumrail.standins.engine --help`."""

import argparse

from geraniumrail.standins.engine_server import Engine
from geraniumrail.standins.process import add_server_options, run, serve_until


def parser() -> argparse.ArgumentParser:
    """Returns the command line of the engine."""
    options = argparse.ArgumentParser(prog='geraniumrail.standins.engine', description=__doc__)
    add_server_options(options)
    add = options.add_argument
    add('--models', nargs='*', default=['bench'])
    add('--first-token-ms', type=float, default=40, help='for a prompt that is not cached')
    add('--token-ms', type=float, default=10, help='between tokens of a request alone')
    add('--batch-slowdown', type=float, default=1, help='added share with a full batch')
    add('--recompute-ms', type=float, default=0.2, help='for each recomputed answer token')
    add('--kv-token-ms', type=float, default=0.02, help='KV transfer time for each token')
    add('--load-s', type=float, default=1, help='time to load a version, model or adapter')
    add('--cache-blocks', type=int, default=512, help='prompt blocks that fit into the cache')
    add('--cache-lag-s', type=float, default=1, help='age of published cache events')
    add('--cache-gaps', type=float, default=0.1, help='share of cache events never published')
    add('--fencing', choices=('enforced', 'ignored'), default='enforced')
    return options


async def main(args: argparse.Namespace) -> None:
    """Runs one engine.

    :param args: parsed command line.
    """
    engine = Engine(args)
    serving = await engine.start()
    await serve_until(serving, engine.departure.stopped, engine.leave)


if __name__ == '__main__':
    run(main, parser().parse_args())
