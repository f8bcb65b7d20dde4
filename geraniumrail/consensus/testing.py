"""An in-process network of replicas on a manual clock, for tests and seeded schedules."""

import asyncio
import contextlib
import dataclasses
import hashlib
import heapq
import itertools
import random
from collections.abc import Sequence

from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.entry import Entry, HardState, Stored
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.messages import AppendRequest, InstallRequest, VoteRequest
from geraniumrail.consensus.replica import Replica
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.errors.consensus import ConsensusError, PeerUnreachableError, ProposalLostError


class IdleClock(ManualClock):
    """Advances only when no task is ready, so that chains of tasks of any length complete."""

    async def advance(self, seconds: float) -> None:
        end = self._now + seconds
        await idle()
        while (wake := self.next_wake()) is not None and wake <= end:
            self._now = max(self._now, wake)
            heapq.heappop(self._sleepers)[2].set_result(None)
            await idle()
        self._now = end


async def idle() -> None:
    """Runs the event loop until no task is ready."""
    ready = asyncio.get_running_loop()._ready
    await asyncio.sleep(0)
    while ready:  # noqa: ASYNC110
        await asyncio.sleep(0)


class SkewedClock:
    """A clock that runs faster or slower than the one of the test."""

    def __init__(self, clock: ManualClock, rate: float, offset: float):
        self._clock = clock
        self._rate = rate
        self._offset = offset

    def now(self) -> float:
        return self._clock.now() * self._rate + self._offset

    def wall(self) -> float:
        return self.now()

    async def sleep(self, seconds: float) -> None:
        await self._clock.sleep(seconds / self._rate)


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


class LastCommandMachine:
    """Keeps the last command and the number of commands, like a configuration that is replaced."""

    def __init__(self):
        self.command = b''
        self.applied = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.command = command
        self.applied += 1
        return b''

    def snapshot(self) -> bytes:
        return b'%d ' % self.applied + self.command

    def restore(self, snapshot: bytes) -> None:
        applied, _, self.command = snapshot.partition(b' ')
        self.applied = int(applied or 0)


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
        """Keeps or drops the write in progress."""
        if self._writing is not None and self._rng.random() < 0.25:
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
    """Delivers requests with delays, drops and cuts, and checks requests and replies.

    A request is delivered even if its sender has stopped waiting for the reply.
    """

    def __init__(self, clock: ManualClock, rng: random.Random):
        self.replicas_by_address: dict[str, Replica] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.drop = 0.0
        self.delay_s = (0.0005, 0.002)
        self.leaders_by_term: dict[int, str] = {}
        self.violations: list[str] = []
        self.granted: list[str] = []  # replica ids that have granted a vote
        self.installs = 0
        self._clock = clock
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()

    def cut(self, *addresses: str) -> None:
        """Separates the addresses from all others, in both directions."""
        self.cut_one_way(addresses, self.others(addresses))
        self.cut_one_way(self.others(addresses), addresses)

    def cut_one_way(self, sources: Sequence[str], targets: Sequence[str]) -> None:
        self.cuts |= {(source, target) for source in sources for target in targets}

    def others(self, addresses: Sequence[str]) -> list[str]:
        return [name for name in 'abcdefgh' if name not in addresses]

    def heal(self) -> None:
        self.cuts.clear()
        self.drop = 0
        self.delay_s = (0.0005, 0.002)

    async def send(self, source: str, target: str, request):
        task = asyncio.ensure_future(self._deliver(source, target, request))
        self._tasks.add(task)
        task.add_done_callback(self._finish_delivery)
        return await asyncio.shield(task)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _finish_delivery(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _deliver(self, source: str, target: str, request):
        self._check_request(request)
        await self._delay_or_drop(source, target)
        replica = self.replicas_by_address.get(target)
        if replica is None:
            raise PeerUnreachableError(address=target, reason='refused')
        reply = await replica.answer(request)
        self._check_reply(request, reply, replica)
        if self.replicas_by_address.get(target) is not replica:
            raise PeerUnreachableError(address=target, reason='reset')
        await self._delay_or_drop(target, source)
        return reply

    def _check_request(self, request) -> None:
        if isinstance(request, AppendRequest):
            leader = self.leaders_by_term.setdefault(request.term, request.sender)
            if leader != request.sender:
                self.violations.append(f'term {request.term}: {leader} and {request.sender} lead')
        self.installs += isinstance(request, InstallRequest) and request.last

    def _check_reply(self, request, reply, replica: Replica) -> None:
        if isinstance(request, VoteRequest) and reply.granted and not request.pre:
            self.granted.append(reply.replica_id)
            if not replica.status().group_id:
                self.violations.append(f'{reply.replica_id} votes without a group')
        if isinstance(request, AppendRequest) and reply.success and reply.term > request.term:
            self.violations.append(f'append of old term {request.term} succeeded')

    async def _delay_or_drop(self, source: str, target: str) -> None:
        await self._clock.sleep(self._rng.uniform(*self.delay_s))
        if (source, target) in self.cuts or self._rng.random() < self.drop:
            await self._clock.sleep(60)  # the caller's time limit ends the call first
            raise PeerUnreachableError(address=target, reason='lost')


class SimulatedTransport:
    """The transport of one replica."""

    def __init__(self, network: Network, address: str):
        self._network = network
        self._address = address

    async def vote(self, address, request):
        return await self._network.send(self._address, address, request)

    async def append(self, address, request):
        return await self._network.send(self._address, address, request)

    async def install(self, address, request):
        return await self._network.send(self._address, address, request)


class Cluster:
    """Replicas that share a clock and a network; a name is also the address."""

    def __init__(self, seed: int = 1, machine: type = ListMachine, **settings):
        self.rng = random.Random(seed)
        self.new_machine = machine
        self.clock = IdleClock(100)
        self.network = Network(self.clock, self.rng)
        self.settings = settings
        self.early = False  # whether replicas know their start time, which allows early campaigns
        self.skew = 0.0  # share by which the clocks of replicas started from now on may be off
        self.disks_by_name: dict[str, Disk] = {}
        self.machines_by_name: dict[str, ListMachine] = {}
        self.replicas_by_name: dict[str, Replica] = {}

    @classmethod
    async def create(
        cls, size: int, seed: int = 1, machine: type = ListMachine, **settings
    ) -> 'Cluster':
        """Creates a group with voters a, b, c ... ."""
        asyncio.get_running_loop().set_debug(False)
        cluster = cls(seed, machine, **settings)
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
        machine = self.new_machine()
        clock = SkewedClock(self.clock, 1 + self.rng.uniform(-self.skew, self.skew), len(name))
        replica = Replica.from_config(
            ReplicaConfig(name=name, address=name, **self.settings),
            self.disks_by_name[name],
            SimulatedTransport(self.network, name),
            machine,
            clock,
            random.Random(self.rng.random()),
            clock.now() if self.early else None,
        )
        self.machines_by_name[name] = machine
        self.replicas_by_name[name] = replica
        self.network.replicas_by_address[name] = replica
        await replica.start()
        return replica

    async def crash(self, name: str) -> None:
        """Ends a replica; its changes that are not synced may be lost."""
        replica = self.replicas_by_name.pop(name)
        self.network.replicas_by_address.pop(name)
        self.disks_by_name[name].crash()
        await replica.stop()

    async def stop(self) -> None:
        for name in list(self.replicas_by_name):
            await self.crash(name)
        self.network.stop()

    def leader(self) -> str | None:
        """Returns the name of the leader with a lease."""
        holders = (
            name
            for name, replica in self.replicas_by_name.items()
            if replica.is_leader_with_lease()
        )
        return next(holders, None)

    async def until(self, ready, limit_s: float = 60) -> None:
        """Advances the clock until a condition holds."""
        end = self.clock.now() + limit_s
        await idle()
        while not ready():
            if self.clock.now() >= end:
                raise AssertionError(f'not reached within {limit_s} s')
            await self.clock.advance(0.02)

    async def run(self, work, limit_s: float = 60):
        """Advances the clock until a coroutine has finished; returns its result."""
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


@dataclasses.dataclass
class ScheduleReport:
    """Counts and violations of one seeded schedule."""

    seed: int
    violations: list[str] = dataclasses.field(default_factory=list)
    terms: int = 0
    acknowledged: int = 0
    unknown: int = 0
    refused: int = 0
    reads: int = 0
    crashes: int = 0
    lost_disks: int = 0
    cuts: int = 0
    installs: int = 0
    transfers: int = 0
    simulated_s: float = 0
    digest: str = ''  # of the final state; equal for equal seeds


class Schedule:
    """Clients, an operator and injected faults on one cluster; `run` checks the history."""

    names = 'abcd'

    def __init__(self, cluster: Cluster, report: ScheduleReport, sizes: Sequence[int] = ()):
        self.cluster = cluster
        self.sizes = sizes  # of padding, one of which is added to each command
        self.report = report
        self.rng = cluster.rng
        self.clock = cluster.clock
        self.longest_applied: list[bytes] = []  # the longest applied sequence seen so far
        self.acknowledged: list[bytes] = []
        self.refused: list[bytes] = []
        self.repairing = ''
        self.restart_at_by_name: dict[str, float] = {}
        self.command_numbers = itertools.count()

    async def run(self, duration_s: float) -> None:
        tasks = [asyncio.ensure_future(self.run_proposer()) for _ in range(3)]
        tasks.append(asyncio.ensure_future(self.run_reader()))
        tasks.append(asyncio.ensure_future(self.run_faults()))
        end = self.clock.now() + duration_s
        while self.clock.now() < end:
            await self.step()
        tasks.pop().cancel()
        await self.settle()
        for task in tasks:
            task.cancel()
        self.check_end()

    async def step(self) -> None:
        await self.clock.advance(0.02)
        for name, at in list(self.restart_at_by_name.items()):
            if self.clock.now() >= at:
                self.restart_at_by_name.pop(name)
                await self.cluster.start(name)
        self.check_now()

    async def settle(self) -> None:
        """Ends all faults and waits until the group has recovered."""
        self.cluster.network.heal()
        for disk in self.cluster.disks_by_name.values():
            disk.sync_s = (0.001, 0.004)
        self.restart_at_by_name = dict.fromkeys(self.restart_at_by_name, 0)
        for _ in range(3000):
            await self.step()
            if not self.repairing and self.converged():
                return
        self.report.violations.append('not recovered 60 s after the last failure')

    def converged(self) -> bool:
        statuses = [one.status() for one in self.cluster.replicas_by_name.values()]
        leaders = [status for status in statuses if status.lease]
        if len(leaders) != 1 or leaders[0].commit != leaders[0].last_index:
            return False
        members = {member.replica_id for member in leaders[0].members}
        applied = {status.applied for status in statuses if status.replica_id in members}
        return applied == {leaders[0].applied} and self.acknowledged_is_applied()

    def acknowledged_is_applied(self) -> bool:
        return set(self.acknowledged) <= set(self.longest_applied)

    def check_now(self) -> None:
        holders = []
        for name, replica in self.cluster.replicas_by_name.items():
            if replica.is_leader_with_lease():
                holders.append(name)
            if replica._context.election.role == 'failed':
                self.report.violations.append(f'{name} has failed')
            self.check_applied(name)
            self.check_log_size(name)
        if len(holders) > 1:
            self.report.violations.append(f'{holders} hold a lease at {self.clock.now()}')

    def check_applied(self, name: str) -> None:
        applied = self.cluster.machines_by_name[name].commands
        common = min(len(applied), len(self.longest_applied))
        if applied[:common] != self.longest_applied[:common]:
            self.report.violations.append(f'{name} has applied another sequence')
        elif len(applied) > common:
            self.longest_applied = list(applied)

    def check_log_size(self, name: str) -> None:
        """Checks the bytes of the log of a replica, in memory and on disk."""
        context = self.cluster.replicas_by_name[name]._context
        config, snapshot = context.config, context.journal.snapshot
        # Applied, kept before the snapshot, uncommitted, and a command that exceeds each of these.
        bound = (
            max(config.snapshot_after_bytes, len(snapshot.payload))
            + config.keep_bytes
            + config.max_uncommitted_bytes
            + 3 * max(self.sizes, default=0)
        )
        disk = self.cluster.disks_by_name[name]
        on_disk = sum(len(entry.payload) for entry in disk._entries)
        if max(context.journal.size, on_disk) > bound:
            self.report.violations.append(f'the log of {name} exceeds {bound} bytes')

    def check_end(self) -> None:
        report = self.report
        applied = set(self.longest_applied)
        if len(applied) < len(self.longest_applied):
            report.violations.append('a command was applied twice')
        report.violations += [f'{lost} was lost' for lost in set(self.acknowledged) - applied]
        report.violations += [f'{ran} was refused but ran' for ran in applied & set(self.refused)]
        report.violations += self.cluster.network.violations
        report.violations = sorted(set(report.violations))
        report.terms = len(self.cluster.network.leaders_by_term)
        report.acknowledged = len(self.acknowledged)
        report.refused = len(self.refused)
        report.installs = self.cluster.network.installs
        report.simulated_s = self.clock.now() - 100
        report.digest = hashlib.sha256(b','.join(self.longest_applied)).hexdigest()[:16]

    def choose_replica(self) -> Replica:
        """Returns a replica in the leader role, possibly a deposed one, or any if there is none."""
        replicas = list(self.cluster.replicas_by_name.values())
        leaders = [one for one in replicas if one._context.election.role == 'leader']
        return self.rng.choice(leaders or replicas)

    async def run_proposer(self) -> None:
        while True:
            await self.clock.sleep(self.rng.uniform(0, 0.3))
            if not self.cluster.replicas_by_name:
                continue
            command = b'%d' % next(self.command_numbers)
            if self.sizes:
                command += b'.' * self.rng.choice(self.sizes)
            try:
                await self.choose_replica().propose(command)
            except ProposalLostError:
                self.report.unknown += 1
            except ConsensusError:
                self.refused.append(command)
            else:
                self.acknowledged.append(command)

    async def run_reader(self) -> None:
        while True:
            await self.clock.sleep(self.rng.uniform(0, 0.5))
            if not self.cluster.replicas_by_name:
                continue
            replica = self.choose_replica()
            machine = self.cluster.machines_by_name[replica.replica_id[0]]
            before = set(self.acknowledged)
            with contextlib.suppress(ConsensusError):
                await replica.read_barrier()
                self.report.reads += 1
                if not before <= set(machine.commands):
                    self.report.violations.append('a read missed acknowledged commands')

    async def run_faults(self) -> None:
        actions = (
            *[self.crash] * 4,
            *[self.crash_all] * 2,
            *[self.lose_disk] * 2,
            *[self.isolate] * 3,
            *[self.cut_partly] * 2,
            *[self.cut_leader_from_voter] * 2,
            self.heal,
            self.drop,
            self.delay,
            self.stall_disk,
            self.transfer_leadership,
        )
        for disk in self.cluster.disks_by_name.values():
            disk.sync_s = self.rng.choice(((0.001, 0.004), (0.005, 0.05)))
        while True:
            await self.clock.sleep(self.rng.uniform(0.2, 1.5))
            await self.rng.choice(actions)()

    async def crash(self) -> None:
        name = self.fault_target()
        if len(self.restart_at_by_name) < 2 and name not in self.restart_at_by_name:
            await self.crash_one(name)

    async def crash_all(self) -> None:
        """Crashes all replicas at once."""
        for name in list(self.cluster.replicas_by_name):
            await self.crash_one(name)

    async def crash_one(self, name: str) -> None:
        self.restart_at_by_name[name] = self.clock.now() + self.rng.uniform(0.2, 6)
        self.report.crashes += 1
        await self.cluster.crash(name)

    def fault_target(self) -> str:
        """Returns the leader half of the time, else any running replica."""
        leader = self.cluster.leader()
        if leader is not None and self.rng.random() < 0.5:
            return leader
        return self.rng.choice(list(self.cluster.replicas_by_name) or self.names)

    async def lose_disk(self) -> None:
        """Restarts a replica with an empty disk and repairs the group, one replica at a time."""
        if self.repairing or self.restart_at_by_name:
            return
        name = self.fault_target()
        lost = self.cluster.replicas_by_name[name].replica_id
        self.repairing = name
        self.report.lost_disks += 1
        await self.cluster.crash(name)
        await self.cluster.start(name, lose_disk=True)
        task = asyncio.ensure_future(self.repair(name, lost))
        task.add_done_callback(self.finish_repair)

    async def repair(self, name: str, lost: str) -> None:
        await self.retry_on_leader(lambda leader: leader.remove(lost))
        await self.retry_on_leader(self.promote_learners)
        added = self.cluster.disks_by_name[name].stored.replica_id
        member = Member(replica_id=added, address=name)
        await self.retry_on_leader(lambda leader: leader.add_learner(member))
        await self.retry_on_leader(self.promote_learners)

    def finish_repair(self, task: asyncio.Task) -> None:
        self.repairing = ''
        if not task.cancelled():
            task.result()

    async def promote_learners(self, leader: Replica) -> None:
        members = leader.status().members
        learners = [member for member in members if not member.voter]
        if len(members) - len(learners) < 3 and learners:
            await leader.promote(learners[0].replica_id)

    async def retry_on_leader(self, operation) -> None:
        while True:
            await self.clock.sleep(0.2)
            leader = self.cluster.leader()
            if leader is not None:
                with contextlib.suppress(ConsensusError):
                    await operation(self.cluster.replicas_by_name[leader])
                    return

    async def isolate(self) -> None:
        self.report.cuts += 1
        others = self.rng.sample(self.names, self.rng.choice((0, 0, 1)))
        self.cluster.network.cut(self.fault_target(), *others)
        await self.keep_fault()

    async def cut_partly(self) -> None:
        """Cuts one replica off from some others, in one or both directions."""
        self.report.cuts += 1
        name = self.fault_target()
        others = self.rng.sample(self.names, self.rng.randint(1, 4))
        direction = self.rng.choice(('out', 'in', 'both'))
        if direction != 'in':
            self.cluster.network.cut_one_way(name, others)
        if direction != 'out':
            self.cluster.network.cut_one_way(others, name)
        await self.keep_fault()

    async def cut_leader_from_voter(self) -> None:
        """Cuts the leader and a voter off from each other; both still reach the others."""
        self.report.cuts += 1
        name = self.cluster.leader() or self.fault_target()
        voters = self.voters(name)
        other = self.rng.choice(voters or self.names)
        self.cluster.network.cut_one_way(name, other)
        self.cluster.network.cut_one_way(other, name)
        await self.keep_fault()

    def voters(self, name: str) -> list[str]:
        """Returns the addresses of the other voters in the membership of a replica."""
        replica = self.cluster.replicas_by_name.get(name)
        members = replica.status().members if replica else ()
        return [one.address for one in members if one.voter and one.address != name]

    async def keep_fault(self) -> None:
        """Waits for up to four election timeouts, then usually ends all cuts, drops and delays."""
        await self.clock.sleep(self.rng.uniform(0, 4))
        if self.rng.random() < 0.8:
            self.cluster.network.heal()

    async def heal(self) -> None:
        self.cluster.network.heal()

    async def drop(self) -> None:
        self.cluster.network.drop = self.rng.uniform(0, 0.4)
        await self.keep_fault()

    async def delay(self) -> None:
        self.cluster.network.delay_s = (0.001, self.rng.choice((0.05, 0.5, 3)))
        await self.keep_fault()

    async def stall_disk(self) -> None:
        disk = self.cluster.disks_by_name[self.rng.choice(self.names)]
        disk.sync_s = self.rng.choice(((0.001, 0.03), (0.01, 0.2), (0.5, 2.5)))

    async def transfer_leadership(self) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            with contextlib.suppress(ConsensusError):
                await self.cluster.replicas_by_name[leader].transfer_leadership()
                self.report.transfers += 1


# Settings by which schedules of short and of unlike commands take snapshots often.
ENTRY_LIMITS = {
    'snapshot_after_entries': 25,
    'keep_entries': 5,
    'max_append_entries': 8,
    'install_part_bytes': 64,
}
BYTE_LIMITS = {
    'snapshot_after_bytes': 8192,
    'max_append_bytes': 4096,
    'install_part_bytes': 16384,
}


async def run_schedule_async(
    seed: int, duration_s: float = 30, early: bool = False, sizes: Sequence[int] = ()
) -> ScheduleReport:
    """Runs one schedule of failures; the report is the same for the same seed."""
    report = ScheduleReport(seed)
    limits = BYTE_LIMITS if sizes else ENTRY_LIMITS
    cluster = await Cluster.create(
        3,
        seed,
        **limits,
        # Half of the default times, so that a schedule holds twice as many elections.
        heartbeat_s=0.2,
        lease_s=0.75,
        election_timeout_s=1.0,
        call_timeout_s=0.5,
    )
    cluster.early = early
    await cluster.start('d')
    await cluster.add('d')
    cluster.skew = 0.08
    await Schedule(cluster, report, sizes).run(duration_s)
    await cluster.stop()
    return report


def run_schedule(
    seed: int, duration_s: float = 30, early: bool = False, sizes: Sequence[int] = ()
) -> ScheduleReport:
    """Runs one schedule of failures in an event loop of its own."""
    return asyncio.run(run_schedule_async(seed, duration_s, early, sizes))
