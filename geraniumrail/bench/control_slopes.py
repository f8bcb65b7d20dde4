"""Cost of control by the number of entries and of backend servers, from real processes.

Three control members run as processes; the entries' follower tasks run in this process.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

import psutil
import uvloop

from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import SystemClock
from geraniumrail.core.load_report import LoadReport
from geraniumrail.entry.announces import Announces
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.follower import Follower
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.wire import TRAFFIC
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.testing.deployment import Deployment

RENEW_S = 2.0
CHANGES = 10
MIB = 1 << 20


class SimulatedEntry:
    """The control part of one entry: view, announcements and follower."""

    def __init__(self, number: int, seeds: list[str]) -> None:
        """Creates the entry.

        :param number: its number.
        :param seeds: addresses of the control members.
        """
        clock = SystemClock()
        self.name = f'sim-{number}'
        self.view = ClusterView(clock, BackendTracker())
        self.announces = Announces(clock)
        self._links = LinkPool()
        self._follower = Follower(
            self.view,
            self.announces,
            LeaderFinder(seeds),
            self._links,
            clock,
            self._report,
        )
        self.task = asyncio.create_task(self._follower.run())

    async def stop(self) -> None:
        """Ends the stream."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self._links.close()

    def _report(self, sequence: int) -> EntryReport:
        info = EntryInfo(
            entry=self.name,
            instance=self.name,
            address='127.0.0.1:1',
            peer_address='127.0.0.1:2',
            data_centre='cheras',
            region='klang-valley',
            applied_revision=self.view.tree.revision,
        )
        return EntryReport(
            sequence=sequence,
            info=info,
            registry_version=self.view.registry_version,
            announces=self.announces.take_pending(),
            holds_lease=self.view.holds_lease(),
        )


@dataclasses.dataclass(frozen=True)
class Usage:
    """Counters of one moment."""

    at: float
    leader_cpu_s: float
    own_cpu_s: float
    sent: int
    received: int

    @classmethod
    def take(cls, leader: psutil.Process) -> 'Usage':
        """Reads the counters.

        :param leader: process of the control leader.
        """
        leader_times = leader.cpu_times()
        own_times = psutil.Process().cpu_times()
        return cls(
            at=time.monotonic(),
            leader_cpu_s=leader_times.user + leader_times.system,
            own_cpu_s=own_times.user + own_times.system,
            sent=TRAFFIC.sent,
            received=TRAFFIC.received,
        )


def announcement(number: int, rng: random.Random) -> Backend:
    """Returns an announcement of a simulated engine.

    :param number: its number.
    :param rng: source of the load.
    """
    return Backend(
        instance=f'engine-{number}',
        service='model-bench',
        address=f'127.0.0.1:{10000 + number}',
        data_centre='cheras',
        region='klang-valley',
        version='v1',
        models=('bench',),
        sequence=time.monotonic_ns(),
        load=LoadReport(
            running=rng.randrange(8),
            queued=rng.randrange(4),
            queued_tokens=rng.randrange(4000),
            tokens_per_s=round(rng.uniform(100, 900), 1),
            kv_used=round(rng.random(), 3),
        ),
    )


async def announce(entries: list[SimulatedEntry], backends: int, renew_s: float) -> None:
    """Renews the announcements until cancelled, spread over the entries and the time.

    :param entries: simulated entries.
    :param backends: number of simulated engines.
    :param renew_s: seconds between two announcements of an engine.
    """
    rng = random.Random(1)
    while True:
        for number in range(backends):
            entries[number % len(entries)].announces.add(announcement(number, rng))
            if not number % 20:
                await asyncio.sleep(renew_s * 20 / backends)
        if backends < 20:
            await asyncio.sleep(renew_s)


async def measure(
    deployment: Deployment,
    leader: psutil.Process,
    size: tuple[int, int],
    args: argparse.Namespace,
) -> str:
    """Measures one size and returns a line of CSV.

    :param deployment: the control members.
    :param leader: process of the control leader.
    :param size: numbers of entries and of backend servers.
    :param args: parsed options.
    """
    count, backends = size
    seeds = [place.peers for place in deployment.places]
    entries = [SimulatedEntry(number, seeds) for number in range(count)]
    announcing = asyncio.create_task(announce(entries, backends, RENEW_S))
    await asyncio.sleep(args.settle)
    before = Usage.take(leader)
    await asyncio.sleep(args.seconds)
    after = Usage.take(leader)
    known = min(len(entry.view.backends_by_instance) for entry in entries)
    in_force_s = [await change(deployment, f'{count}-{backends}-{each}') for each in range(CHANGES)]
    behind = sum(entry.view.tree.revision < entries[0].view.tree.revision for entry in entries)
    announcing.cancel()
    await asyncio.gather(*(entry.stop() for entry in entries))
    span = after.at - before.at
    cells = (
        count,
        backends,
        known,
        f'{100 * (after.leader_cpu_s - before.leader_cpu_s) / span:.2f}',
        f'{leader.memory_info().rss / MIB:.0f}',
        f'{100 * (after.own_cpu_s - before.own_cpu_s) / span / count:.3f}',
        f'{(after.sent - before.sent) / span / count:.0f}',
        f'{(after.received - before.received) / span / count:.0f}',
        f'{sorted(in_force_s)[len(in_force_s) // 2]:.3f}',
        f'{max(in_force_s):.3f}',
        behind,
    )
    return ','.join(str(cell) for cell in cells)


async def change(deployment: Deployment, change_id: str) -> float:
    """Changes a setting and returns the seconds until it is in force everywhere.

    :param deployment: the control members.
    :param change_id: id of the change.
    """
    node = await deployment.operate('GET', '/v1/admin/settings?path=/slope')
    started = time.monotonic()
    values = {'weight': 1 + node['version'] % 50}
    result = await deployment.change('/slope', values, node['version'], change_id)
    if not result['in_force']:
        sys.exit(f'change {change_id} was not in force in time')
    return time.monotonic() - started


async def run(args: argparse.Namespace) -> None:
    """Measures all sizes.

    :param args: parsed options.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), 3, diskless=0, roles=('control',))
        try:
            await deployment.start()
            place = await deployment.leader()
            pid = deployment.processes_by_name[place.name].process.pid
            print(
                'entries,backends,known,leader_cpu_pct,leader_rss_mib,entry_cpu_pct,'
                'entry_sent_B_s,entry_received_B_s,in_force_p50_s,in_force_max_s,behind',
                flush=True,
            )
            for backends in args.backends:
                for count in args.entries:
                    line = await measure(
                        deployment,
                        psutil.Process(pid),
                        (count, backends),
                        args,
                    )
                    print(line, flush=True)
        finally:
            await deployment.stop()


def main() -> None:
    """Parses the options and measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, nargs='+', default=[4, 16, 64, 160])
    parser.add_argument('--backends', type=int, nargs='+', default=[9, 90, 880])
    parser.add_argument('--seconds', type=float, default=10)
    # All simulated entries share one process, which takes some seconds for 320 whole registries.
    parser.add_argument('--settle', type=float, default=6)
    uvloop.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
