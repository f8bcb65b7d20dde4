"""Measures what the bound of the log costs: bytes written, its size on disk, time of a start."""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from unittest import mock

import uvloop

from geraniumrail.bench.commit_rate import LocalTransport
from geraniumrail.consensus import file_storage
from geraniumrail.consensus.config import DEFAULT_LOG_BYTES, ReplicaConfig
from geraniumrail.consensus.durable_files import replace_file, write_all
from geraniumrail.consensus.load_step import peak_memory_bytes
from geraniumrail.consensus.replica import Replica
from geraniumrail.core import codec
from geraniumrail.core.clock import SystemClock
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.route import SAFE, Route
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.deployment.share import Share
from geraniumrail.state.commands import ReplaceDeployment
from geraniumrail.state.machine import Machine

_NAME = 'a'
_SERVICE = 'desk'
_PAUSE_S = 0.002
_KB, _MB, _MS = 1e3, 1e6, 1e3


@dataclasses.dataclass
class Written:
    """Counts the bytes that the storage writes."""

    total: int = 0

    def write_all(self, descriptor: int, content: bytes) -> None:
        """Writes to the log.

        :param descriptor: of the log.
        :param content: what to write.
        """
        self.total += len(content)
        write_all(descriptor, content)

    def replace_file(self, path: pathlib.Path, parts: Iterable[bytes]) -> None:
        """Replaces the log or the snapshot.

        :param path: the file.
        :param parts: its content.
        """
        replace_file(path, self._count(parts))

    def _count(self, parts: Iterable[bytes]) -> Iterator[bytes]:
        for part in parts:
            self.total += len(part)
            yield part


def deployment(version: int, routes: int) -> Deployment:
    """Returns a configuration that differs from the others in one time limit.

    :param version: its number.
    :param routes: number of its routes.
    """
    return Deployment(
        version=version,
        routes=tuple(
            Route(
                name=f'route-{number:07d}',
                host='bench.example',
                prefix=f'/prefix{number:04d}/',
                kind=SAFE,
                shares=(Share(service=_SERVICE, weight=1),),
                timeout_s=4 if number else 4 + version / _MS,
                target_s=0.4,
            )
            for number in range(routes)
        ),
        services=(ServiceSpec(name=_SERVICE),),
    )


def open_replica(folder: pathlib.Path, log_bytes: int) -> Replica:
    """Opens the only voter of a group.

    :param folder: data folder.
    :param log_bytes: after which a snapshot is due.
    """
    return Replica.from_config(
        # Short times are safe because the replica is the only voter.
        ReplicaConfig(
            name=_NAME,
            address=_NAME,
            election_timeout_s=0.05,
            tick_s=0.01,
            snapshot_after_bytes=log_bytes,
        ),
        file_storage.FileStorage.open(folder, _NAME),
        LocalTransport({}),
        Machine(),
        SystemClock(),
        random.Random(_NAME),
    )


async def until_applied(replica: Replica, index: int) -> None:
    """Waits until a replica leads and has applied a position.

    :param replica: the replica.
    :param index: the position.
    """
    while not replica.is_leader_with_lease() or replica.status().applied < index:  # noqa: ASYNC110
        await asyncio.sleep(_PAUSE_S)


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    """Makes the changes, restarts the replica and prints the figures.

    :param options: command line options.
    :param folder: empty data folder.
    """
    written = Written()
    patched = {'write_all': written.write_all, 'replace_file': written.replace_file}
    with mock.patch.multiple(file_storage, **patched):
        replica = open_replica(folder, options.log_bytes)
        await replica.start()
        await replica.create_group()
        await until_applied(replica, 1)
        proposed = 0
        started = time.perf_counter()
        for version in range(1, options.changes + 1):
            command = codec.encode(
                ReplaceDeployment(deployment=deployment(version, options.routes))
            )
            proposed += len(command)
            await replica.propose(command)
        per_change_s = (time.perf_counter() - started) / options.changes
        index = replica.status().applied
        await replica.stop()
    on_disk = folder_bytes(folder)
    started = time.perf_counter()
    replica = open_replica(folder, options.log_bytes)
    await replica.start()
    await until_applied(replica, index)
    start_s = time.perf_counter() - started
    await replica.stop()
    sys.stdout.write(
        f'{options.log_bytes / _MB:9.1f} {proposed / options.changes / _KB:9.1f}'
        f' {written.total / proposed:9.2f} {per_change_s * _MS:9.1f} {on_disk / _MB:9.1f}'
        f' {start_s * _MS:9.0f} {peak_memory_bytes() / _MB:9.0f}\n'
    )


def folder_bytes(folder: pathlib.Path) -> int:
    """Returns the size of the files in a folder.

    :param folder: data folder.
    """
    return sum(path.stat().st_size for path in folder.iterdir())


def main() -> None:
    """Parses the command line and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=200)
    parser.add_argument('--routes', type=int, default=2200, help='of each configuration')
    parser.add_argument('--log-bytes', type=int, default=DEFAULT_LOG_BYTES)
    parser.add_argument('--folder', help='where to create the temporary data folder')
    options = parser.parse_args()
    sys.stdout.write('   log MB change KB   written ms/change   disk MB  start ms   peak MB\n')
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        uvloop.run(measure(options, pathlib.Path(folder)))


if __name__ == '__main__':
    main()
