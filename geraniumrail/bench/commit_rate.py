"""Measures commit latency and rate of three replicas with file storage in one process."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import uvloop

from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.file_storage import FileStorage
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.messages import Reply, Request
from geraniumrail.consensus.replica import Replica
from geraniumrail.core import codec
from geraniumrail.core.clock import SystemClock
from geraniumrail.errors.consensus import ConsensusError

_NAMES = ('a', 'b', 'c')
_PAUSE_S = 0.02
_WARM_UP_S = 0.5
_MS = 1000


class CountingMachine:
    """Counts the commands."""

    def __init__(self) -> None:
        """Creates the machine."""
        self._count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Counts a command.

        :param index: position in the log.
        :param command: ignored.
        """
        self._count += 1
        return b''

    def snapshot(self) -> bytes:
        """Returns the count."""
        return b'%d' % self._count

    def restore(self, snapshot: bytes) -> None:
        """Sets the count.

        :param snapshot: result of `snapshot`.
        """
        self._count = int(snapshot or 0)


class LocalTransport:
    """Encodes and decodes each message as a network would, but carries it in the process."""

    def __init__(self, replicas_by_address: dict[str, Replica]) -> None:
        """Creates the transport.

        :param replicas_by_address: the replicas that can be reached.
        """
        self._replicas_by_address = replicas_by_address

    async def vote(self, address: str, request: Request) -> Any:
        """Sends a vote request.

        :param address: name of the replica.
        :param request: what to send.
        """
        return await self._carry(address, request)

    async def append(self, address: str, request: Request) -> Any:
        """Sends entries.

        :param address: name of the replica.
        :param request: what to send.
        """
        return await self._carry(address, request)

    async def install(self, address: str, request: Request) -> Any:
        """Sends a part of a snapshot.

        :param address: name of the replica.
        :param request: what to send.
        """
        return await self._carry(address, request)

    async def _carry(self, address: str, request: Request) -> Reply:
        received = codec.decode(codec.encode(request))
        reply = await self._replicas_by_address[address].answer(received)
        return codec.decode(codec.encode(reply))


async def create_group(folder: pathlib.Path) -> dict[str, Replica]:
    """Starts a group of three voters; the first is the leader.

    :param folder: data folder for all.
    """
    replicas: dict[str, Replica] = {}
    for name in _NAMES:
        replicas[name] = Replica.from_config(
            ReplicaConfig(name=name, address=name),
            FileStorage.open(folder / name, name),
            LocalTransport(replicas),
            CountingMachine(),
            SystemClock(),
            random.Random(name),
        )
        await replicas[name].start()
    leader = replicas[_NAMES[0]]
    await leader.create_group()
    for name in _NAMES[1:]:
        replica_id = replicas[name].replica_id
        member = Member(replica_id=replica_id, address=name)
        await _retry(leader.add_learner, member)
        await _retry(leader.promote, replica_id)
    return replicas


async def measure(leader: Replica, proposers: int, seconds: float, size: int) -> list[float]:
    """Proposes commands for a while and returns the sorted latencies in seconds.

    :param leader: where to propose.
    :param proposers: how many propose at the same time, one command after the other.
    :param seconds: how long.
    :param size: bytes of each command.
    """
    latencies: list[float] = []
    end = time.monotonic() + seconds

    async def propose() -> None:  # noqa: WPS430  shares the list of latencies
        started = time.monotonic()
        while started < end:
            await leader.propose(bytes(size))
            finished = time.monotonic()
            latencies.append(finished - started)
            started = finished

    await asyncio.gather(*(propose() for _ in range(proposers)))
    return sorted(latencies)


def row(proposers: int, latencies: Sequence[float], seconds: float) -> str:
    """Formats one line of the table.

    :param proposers: number of proposers.
    :param latencies: sorted, in seconds.
    :param seconds: duration of the run.
    """
    shown = [latencies[int(len(latencies) * share)] * _MS for share in (0.5, 0.95, 0.99)]
    percentiles = ' '.join(f'{value:9.2f}' for value in shown)
    return f'{proposers:9} {len(latencies) / seconds:10.0f} {percentiles}\n'


async def run_all(options: argparse.Namespace) -> None:
    """Runs the measurement for each number of proposers.

    :param options: command line options.
    """
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        replicas = await create_group(pathlib.Path(folder))
        leader = replicas[_NAMES[0]]
        sys.stdout.write('proposers  commits/s    p50 ms    p95 ms    p99 ms\n')
        for proposers in options.proposers:
            await measure(leader, proposers, _WARM_UP_S, options.size)
            latencies = await measure(leader, proposers, options.seconds, options.size)
            sys.stdout.write(row(proposers, latencies, options.seconds))
            sys.stdout.flush()
        for replica in replicas.values():
            await replica.stop()


def main() -> None:
    """Parses the command line and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--proposers', type=int, nargs='+', default=[1, 16, 64])
    parser.add_argument('--seconds', type=float, default=5, help='for each row')
    parser.add_argument('--size', type=int, default=300, help='bytes of a command')
    parser.add_argument('--folder', help='where to create the temporary data folder')
    uvloop.run(run_all(parser.parse_args()))


async def _retry(change: Callable[[Any], Awaitable[None]], member: Member | str) -> None:
    while True:
        try:
            await change(member)
        except ConsensusError:
            await asyncio.sleep(_PAUSE_S)
        else:
            return


if __name__ == '__main__':
    main()
