"""An in-process network of replicas on a manual clock, for tests and seeded schedules."""

import asyncio
import dataclasses
import random
from collections.abc import Sequence

from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.entry import Entry, HardState, Stored
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.replica import Replica
from geraniumrail.core.manual_clock import ManualClock, settle
from geraniumrail.errors.consensus import ConsensusError, PeerUnreachableError


class ListMachine:
    """Keeps the applied commands in order; the state is the list."""

    def __init__(self):
        self.commands: list[bytes] = []
        self.restored = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b'%d' % len(self.commands)

    def snapshot(self) -> bytes:
        return b'\n'.join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        self.commands = snapshot.split(b'\n') if snapshot else []
        self.restored += bool(snapshot)


class Disk:
    """A storage whose writes take time; a crash keeps or drops the write in progress."""

    def __init__(self, stored: Stored, clock: ManualClock, rng: random.Random):
        self.stored = stored
        self.sync_s = (0.001, 0.004)
        self._clock = clock
        self._rng = rng
        self._entries = list(stored.entries)
        self._writing: Stored | tuple[HardState | None, Sequence[Entry]] | None = None

    def load(self) -> Stored:
        self.stored = dataclasses.replace(self.stored, entries=tuple(self._entries))
        return self.stored

    async def write(self, hard: HardState | None, entries: Sequence[Entry]) -> None:
        await self._sync((hard, entries))

    async def compact(self, state: Stored) -> None:
        await self._sync(state)

    async def close(self) -> None:
        """Has nothing to release."""

    def crash(self) -> None:
        """Decides about the write in progress."""
        if self._writing is not None and self._rng.random() < 0.5:
            self._store(self._writing)
        self._writing = None

    async def _sync(self, change) -> None:
        self._writing = change
        await self._clock.sleep(self._rng.uniform(*self.sync_s))
        self._store(change)
        self._writing = None

    def _store(self, change) -> None:
        if isinstance(change, Stored):
            self.stored = change
            self._entries = list(change.entries)
            return
        hard, entries = change
        if hard is not None:
            self.stored = dataclasses.replace(self.stored, hard=hard)
        for entry in entries:
            del self._entries[entry.index - self.stored.base_index - 1 :]
            self._entries.append(entry)


class Network:
    """Delivers requests with delays, drops and cuts."""

    def __init__(self, clock: ManualClock, rng: random.Random):
        self.replicas_by_address: dict[str, Replica] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.drop = 0.0
        self.delay_s = (0.0005, 0.002)
        self._clock = clock
        self._rng = rng

    def cut(self, *addresses: str) -> None:
        """Separates the addresses from all others, in both directions."""
        others = [name for name in self.replicas_by_address if name not in addresses]
        self.cuts |= {(inner, outer) for inner in addresses for outer in others}
        self.cuts |= {(outer, inner) for inner in addresses for outer in others}

    def heal(self) -> None:
        self.cuts.clear()
        self.drop = 0

    async def carry(self, source: str, target: str, request):
        await self._hop(source, target)
        replica = self.replicas_by_address.get(target)
        if replica is None:
            raise PeerUnreachableError(address=target, reason='refused')
        reply = await replica.answer(request)
        if self.replicas_by_address.get(target) is not replica:
            raise PeerUnreachableError(address=target, reason='reset')
        await self._hop(target, source)
        return reply

    async def _hop(self, source: str, target: str) -> None:
        await self._clock.sleep(self._rng.uniform(*self.delay_s))
        if (source, target) in self.cuts or self._rng.random() < self.drop:
            await self._clock.sleep(60)  # the caller's time limit ends the call first
            raise PeerUnreachableError(address=target, reason='lost')


class Link:
    """The transport of one replica."""

    def __init__(self, network: Network, address: str):
        self._network = network
        self._address = address

    async def vote(self, address, request):
        return await self._network.carry(self._address, address, request)

    async def append(self, address, request):
        return await self._network.carry(self._address, address, request)

    async def install(self, address, request):
        return await self._network.carry(self._address, address, request)


class Cluster:
    """Replicas that share a clock and a network; a name is also the address."""

    def __init__(self, seed: int = 1, **settings):
        self.rng = random.Random(seed)
        self.clock = ManualClock(100)
        self.network = Network(self.clock, self.rng)
        self.settings = settings
        self.disks_by_name: dict[str, Disk] = {}
        self.machines_by_name: dict[str, ListMachine] = {}
        self.replicas_by_name: dict[str, Replica] = {}

    @classmethod
    async def create(cls, size: int, seed: int = 1, **settings) -> 'Cluster':
        """Creates a group with voters a, b, c ... ."""
        cluster = cls(seed, **settings)
        names = 'abcdefgh'[:size]
        for name in names:
            await cluster.start(name)
        await cluster.run(cluster.replicas_by_name['a'].create_group())
        await cluster.until(lambda: cluster.leader() is not None)
        for name in names[1:]:
            await cluster.add(name)
            await cluster.promote(name)
        return cluster

    async def start(self, name: str, lose_disk: bool = False) -> Replica:
        """Starts a replica from its disk, or with an empty disk and a new id."""
        if lose_disk or name not in self.disks_by_name:
            stored = Stored(replica_id=f'{name}.{self.rng.getrandbits(32):08x}')
            self.disks_by_name[name] = Disk(stored, self.clock, self.rng)
        machine = ListMachine()
        replica = Replica.from_config(
            ReplicaConfig(name=name, address=name, **self.settings),
            self.disks_by_name[name],
            Link(self.network, name),
            machine,
            self.clock,
            random.Random(self.rng.random()),
        )
        self.machines_by_name[name] = machine
        self.replicas_by_name[name] = replica
        self.network.replicas_by_address[name] = replica
        await replica.start()
        return replica

    async def crash(self, name: str) -> None:
        """Ends a replica; what it had not synced may be lost."""
        replica = self.replicas_by_name.pop(name)
        self.network.replicas_by_address.pop(name)
        self.disks_by_name[name].crash()
        await replica.stop()

    async def stop(self) -> None:
        for name in list(self.replicas_by_name):
            await self.crash(name)

    def leader(self) -> str | None:
        """Returns the name of the leader with a lease."""
        holders = (
            name
            for name, replica in self.replicas_by_name.items()
            if replica.is_leader_with_lease()
        )
        return next(holders, None)

    async def until(self, ready, limit_s: float = 60) -> None:
        """Moves time on until a condition holds."""
        end = self.clock.now() + limit_s
        await settle()
        while not ready():
            if self.clock.now() >= end:
                raise AssertionError(f'not reached within {limit_s} s')
            await self.clock.advance(0.02)

    async def run(self, work, limit_s: float = 60):
        """Moves time on until a coroutine has finished; returns its result."""
        task = asyncio.ensure_future(work)
        await self.until(task.done, limit_s)
        return task.result()

    async def retry(self, operation, limit_s: float = 60):
        """Repeats an operation on the leader until it succeeds."""
        end = self.clock.now() + limit_s
        while True:
            await self.until(lambda: self.leader() is not None, limit_s)
            try:
                return await self.run(operation(self.replicas_by_name[self.leader()]))
            except ConsensusError:
                if self.clock.now() >= end:
                    raise
                await self.clock.advance(0.1)

    async def add(self, name: str) -> None:
        replica_id = self.replicas_by_name[name].replica_id
        member = Member(replica_id=replica_id, address=name)
        await self.retry(lambda leader: leader.add_learner(member))

    async def promote(self, name: str) -> None:
        replica_id = self.replicas_by_name[name].replica_id
        await self.retry(lambda leader: leader.promote(replica_id))

    async def propose(self, command: bytes):
        return await self.retry(lambda leader: leader.propose(command))
