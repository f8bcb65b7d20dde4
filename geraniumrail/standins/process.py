"""Runs a stand-in: binds, prints the address, leaves on SIGTERM."""

import argparse
import asyncio
import dataclasses
import signal
from collections.abc import Awaitable, Callable

import uvloop
from aiohttp import web


@dataclasses.dataclass(frozen=True)
class Serving:
    """A bound application."""

    runner: web.AppRunner
    address: str

    @classmethod
    async def bind(
        cls, application: web.Application, listen: str, *, cancel_handlers: bool = False
    ) -> 'Serving':
        """Binds an application.

        :param application: what to serve.
        :param listen: `ip:port`; port 0 takes a free one.
        :param cancel_handlers: cancel the handler of a caller that disconnects.
        """
        host, _, port = listen.rpartition(':')
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=cancel_handlers,
            shutdown_timeout=0.2,
        )
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        bound_host, bound_port = runner.addresses[0][:2]
        return cls(runner, f'{bound_host}:{bound_port}')

    def connections(self) -> set[object]:
        """Returns the open connections."""
        server = self.runner.server
        return set() if server is None else set(server.connections)

    async def close(self) -> None:
        """Closes all connections."""
        await self.runner.cleanup()


def run(main: Callable[[argparse.Namespace], Awaitable[None]], args: argparse.Namespace) -> None:
    """Runs a stand-in until it ends.

    :param main: starts the server and returns when it has stopped.
    :param args: parsed command line.
    """
    uvloop.run(main(args))


async def serve_until(serving: Serving, stopped: asyncio.Event, leave: Callable[[], None]) -> None:
    """Prints the address and waits for the end.

    :param serving: the bound application.
    :param stopped: set when the server has nothing more to do.
    :param leave: called on SIGTERM.
    """
    print(f'listening {serving.address}', flush=True)  # noqa: WPS421
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leave)
    await stopped.wait()
    await serving.close()


def add_server_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options that every announcing server has."""
    parser.add_argument('--listen', default='127.0.0.1:0', help='ip:port; port 0 takes a free one')
    parser.add_argument('--advertise', default='', help='announced ip:port; default as bound')
    parser.add_argument('--instance', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--data-centre', required=True)
    parser.add_argument('--region', required=True)
    parser.add_argument('--version', default='v1')
    parser.add_argument('--announce', nargs='*', default=[], help='base URLs of entries')
    parser.add_argument('--announce-to', choices=('one', 'all'), default='one')
    parser.add_argument('--key', default='', help='API key for announcements')
    parser.add_argument('--lease-s', type=float, default=6)
    _add_limits(parser)


def _add_limits(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--slots', type=int, default=8, help='requests that run at once')
    parser.add_argument('--report-lag-s', type=float, default=0.5)
    parser.add_argument('--notice-s', type=float, default=10, help='notice taken on SIGTERM')
    parser.add_argument('--idle-exit-s', type=float, default=4, help='leaves early once idle')
    parser.add_argument('--fault', nargs='*', default=[], help='faults set at the start, as JSON')
    parser.add_argument('--seed', type=int, default=1)
