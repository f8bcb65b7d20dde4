"""Recovery after many settings changes: restart of a member, and loss of the leader."""

import argparse
import asyncio
import pathlib
import tempfile
import time

import psutil
import uvloop

from geraniumrail.testing.deployment import Deployment
from geraniumrail.testing.layout import EntryPlace

PARALLEL = 20
WEIGHTS = 50
MIB = 1 << 20


async def change_many(deployment: Deployment, changes: int) -> float:
    """Applies changes, some at once on different nodes, and returns the seconds taken.

    :param deployment: the control members.
    :param changes: how many.
    """
    started = time.monotonic()

    async def change_node(node: int) -> None:
        for version in range(changes // PARALLEL):
            values = {'weight': 1 + version % WEIGHTS}
            await deployment.change(f'/org-{node}', values, version, f'{node}-{version}')

    await asyncio.gather(*(change_node(node) for node in range(PARALLEL)))
    return time.monotonic() - started


async def until_applied(deployment: Deployment, place: EntryPlace, revision: int) -> float:
    """Returns the seconds until a member has applied a settings revision.

    :param deployment: the control members.
    :param place: the member.
    :param revision: settings revision.
    """
    started = time.monotonic()

    async def applied() -> bool:
        try:
            status = await deployment.status(place)
        except (OSError, TimeoutError):
            return False
        return status.get('revision', 0) >= revision

    await deployment.until(applied, f'{place.name} has not applied {revision}')
    return time.monotonic() - started


async def run(args: argparse.Namespace) -> None:
    """Measures.

    :param args: parsed options.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), 3, diskless=0, roles=('control',))
        try:
            await deployment.start()
            taken = await change_many(deployment, args.changes)
            leader = await deployment.leader()
            status = await deployment.status(leader)
            print(f'{args.changes} changes in {taken:.1f} s, revision {status["revision"]}')
            process = psutil.Process(deployment.processes_by_name[leader.name].process.pid)
            print(f'leader resident memory {process.memory_info().rss / MIB:.0f} MiB')
            follower = next(place for place in deployment.places if place != leader)
            await deployment.processes_by_name[follower.name].kill()
            size = sum(file.stat().st_size for file in follower.data.iterdir())
            await deployment.start_entry(follower.name)
            caught_up = await until_applied(deployment, follower, status['revision'])
            print(f'restarted member caught up after {caught_up:.2f} s, folder {size} bytes')
            await deployment.processes_by_name[leader.name].kill()
            started = time.monotonic()
            await deployment.change('/after', {'weight': 2}, 0, 'after')
            print(f'change in force {time.monotonic() - started:.2f} s after the leader was killed')
        finally:
            await deployment.stop()


def main() -> None:
    """Parses the options and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=1100)
    uvloop.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
