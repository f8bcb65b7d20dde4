"""Control roles and followers in one process, over links that delay and cut."""

import asyncio
import contextlib
import functools
import itertools
import random
import types
from collections.abc import AsyncIterator, Iterable
from typing import Any
from unittest import mock

from geraniumrail.config.control import ControlConfig
from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.entry import Stored
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.testing import Disk, SkewedClock
from geraniumrail.control import control as control_module
from geraniumrail.control.control import Control
from geraniumrail.entry.announces import Announces
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.follower import Follower
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.consensus import ConsensusError
from geraniumrail.errors.link import LinkError
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.testing.virtual_loop import LoopClock

NAMES = ('a', 'b', 'c', 'd')
VOTERS = 3
CONNECT_LIMIT_S = 20
SKEW = 0.02  # share by which the clocks of the daemons are off


class Net:
    """Carries records between daemons; what meets a cut waits until it is healed, as in TCP."""

    def __init__(self, rng: random.Random) -> None:
        """Starts without daemons.

        :param rng: source of delays.
        """
        self.daemons_by_name: dict[str, Daemon] = {}
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self.delay_s = (0.0005, 0.002)
        self._rng = rng

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Cuts one direction.

        :param sources: names of the senders.
        :param targets: names of the receivers.
        """
        self.cuts |= set(itertools.product(sources, targets))

    def isolate(self, names: Iterable[str]) -> None:
        """Cuts daemons off from the others.

        :param names: the daemons on one side.
        """
        inside = tuple(names)
        outside = [name for name in NAMES if name not in inside]
        self.cut(inside, outside)
        self.cut(outside, inside)

    def heal(self) -> None:
        """Ends all cuts and delays."""
        self.cuts.clear()
        self.delay_s = (0.0005, 0.002)

    async def pass_on(self, source: str, target: str) -> None:
        """Waits until a record has arrived.

        :param source: sender.
        :param target: receiver.
        """
        await asyncio.sleep(self._rng.uniform(*self.delay_s))
        while (source, target) in self.cuts:  # noqa: ASYNC110 -- in virtual time
            await asyncio.sleep(0.1)

    def reach(self, name: str) -> 'Daemon':
        """Returns a running daemon.

        :param name: its name.
        :raises LinkError: if it does not run.
        """
        daemon = self.daemons_by_name.get(name)
        if daemon is None:
            raise LinkError(address=name, reason='refused')
        return daemon


class Links:
    """The links of one daemon; stands in for `LinkPool`, `LinkClient` and `LinkServer`."""

    def __init__(self, net: Net, source: str) -> None:
        """Connects a daemon.

        :param net: carries the records.
        :param source: name of the daemon.
        """
        self.handlers_by_type: dict[type, Any] = {}
        self.follow_handler: Any = None
        self._net = net
        self._source = source
        self._tasks: set[asyncio.Task[Any]] = set()

    def register(self, request: type, handler: Any) -> None:
        """Handles one type of record."""
        self.handlers_by_type[request] = handler

    def register_follow(self, handler: Any) -> None:
        """Handles streams."""
        self.follow_handler = handler

    async def call(self, address: str, request: object, timeout_s: float) -> Any:
        """Sends a record; it is delivered even if nobody waits for the reply any more."""
        task = asyncio.create_task(self._deliver(address, request))
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise LinkError(address=address, reason='timeout') from error

    def client(self, address: str) -> Any:
        """Returns an object with `follow`."""
        return types.SimpleNamespace(follow=functools.partial(self._follow, address))

    def stop(self) -> None:
        """Ends the calls."""
        for task in self._tasks:
            task.cancel()

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _deliver(self, address: str, request: object) -> Any:
        net = self._net
        await net.pass_on(self._source, address)
        daemon = net.reach(address)
        reply = await daemon.links.handlers_by_type[type(request)](request)
        await net.pass_on(address, self._source)
        if net.daemons_by_name.get(address) is not daemon:
            raise LinkError(address=address, reason='reset')
        return reply

    async def _follow(self, address: str, reports: AsyncIterator[Any]) -> AsyncIterator[Any]:
        net = self._net
        await net.pass_on(self._source, address)
        daemon = net.reach(address)
        sent: asyncio.Queue[Any] = asyncio.Queue()
        received: asyncio.Queue[Any] = asyncio.Queue()
        updates = daemon.links.follow_handler(_drain(received))
        tasks = (
            asyncio.create_task(self._pump(reports, received, address)),
            asyncio.create_task(_collect(updates, sent)),
        )
        try:
            while True:
                update = await sent.get()
                await net.pass_on(address, self._source)
                if net.daemons_by_name.get(address) is not daemon:
                    raise LinkError(address=address, reason='reset')
                if isinstance(update, Exception):
                    raise update
                yield update
        finally:
            for task in tasks:
                task.cancel()

    async def _pump(
        self, reports: AsyncIterator[Any], received: 'asyncio.Queue[Any]', address: str
    ) -> None:
        async for report in reports:
            await self._net.pass_on(self._source, address)
            received.put_nowait(report)


async def _drain(queue: 'asyncio.Queue[Any]') -> AsyncIterator[Any]:
    while True:
        yield await queue.get()


async def _collect(updates: AsyncIterator[Any], sent: 'asyncio.Queue[Any]') -> None:
    try:
        async with contextlib.aclosing(updates):
            async for update in updates:
                sent.put_nowait(update)
    except Exception as error:  # noqa: BLE001 -- carried to the client as the link server does
        sent.put_nowait(error)


class Daemon:
    """One process with both roles; the entry role consists of its view and follower."""

    def __init__(
        self, net: Net, name: str, number: int, disk: Disk, rng: random.Random, voters: int = 0
    ) -> None:
        """Builds the roles.

        :param net: carries the records.
        :param name: name and address.
        :param number: distinguishes the starts of one daemon.
        :param disk: storage of the replica.
        :param rng: seeded.
        :param voters: number that the group keeps by itself; 0: operators change the members.
        """
        self.name = name
        self.links = Links(net, name)
        config = types.SimpleNamespace(
            instance=name,
            peers=types.SimpleNamespace(listen=name),
            control=ControlConfig(seeds=NAMES, voters=voters),
        )
        clock = SkewedClock(LoopClock(), 1 + rng.uniform(-SKEW, SKEW), rng.uniform(0, 50))
        self.control = Control(config, disk, self.links, clock, random.Random(rng.random()))
        self.control.register(self.links)
        self.entry_id = f'{name}-{number}'
        self.view = ClusterView(clock, BackendTracker())
        self.follower = Follower(
            self.view,
            Announces(clock),
            LeaderFinder(NAMES),
            self.links,
            clock,
            self._report,
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts both roles."""
        await self.control.start()
        self._task = asyncio.create_task(self.follower.run())

    async def crash(self) -> None:
        """Ends both roles without notice."""
        tasks = (self._task, *self.control._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.stop()
        await self.control.replica.stop()

    def _report(self, sequence: int) -> EntryReport:
        return EntryReport(
            sequence=sequence,
            info=EntryInfo(
                entry=self.entry_id,
                instance=self.name,
                address=self.name,
                peer_address=self.name,
                data_centre='',
                region='',
                applied_revision=self.view.tree.revision,
            ),
            registry_version=self.view.registry_version,
            holds_lease=self.view.holds_lease(),
        )


class Daemons:
    """Three voters and a learner."""

    def __init__(self, seed: int, voters: int = 0) -> None:
        """Prepares the daemons.

        :param seed: seed of everything random.
        :param voters: number that the group keeps by itself; 0: operators change the members.
        """
        self._voters = voters
        random.seed(seed)
        self.rng = random.Random(seed)
        self.net = Net(self.rng)
        self.clock = LoopClock()
        self.down: dict[str, float] = {}  # name -> when to start again
        self._disks_by_name: dict[str, Disk] = {}
        self._numbers = itertools.count()

    async def create(self) -> None:
        """Starts the daemons and creates the group."""
        for name in NAMES:
            await self.start(name)
        first = self.net.reach(NAMES[0])
        await first.control.replica.create_group()
        for number, name in enumerate(NAMES[1:], 1):
            added = self.net.reach(name).control.replica.replica_id
            member = Member(replica_id=added, address=name)
            await self._persist(functools.partial(self._add, member))
            if number < VOTERS:
                await self._persist(functools.partial(self._promote, added))
        await self.until(lambda: all(each.view.holds_lease() for each in self.running()))

    def running(self) -> list[Daemon]:
        """Returns the daemons that run."""
        return list(self.net.daemons_by_name.values())

    def leader(self) -> Daemon | None:
        """Returns a daemon that may act as the leader."""
        return next((each for each in self.running() if each.control.leadership.is_active()), None)

    async def start(self, name: str) -> None:
        """Starts a daemon, with the disk that it had.

        :param name: its name.
        """
        if name not in self._disks_by_name:
            stored = Stored(replica_id=f'{name}.{self.rng.getrandbits(32):08x}')
            self._disks_by_name[name] = Disk(stored, self.clock, self.rng)
        small = functools.partial(
            ReplicaConfig,
            snapshot_after_entries=20,
            keep_entries=5,
            max_append_entries=8,
            install_part_bytes=1024,
        )
        with mock.patch.object(control_module, 'ReplicaConfig', small):
            daemon = Daemon(
                self.net,
                name,
                next(self._numbers),
                self._disks_by_name[name],
                self.rng,
                self._voters,
            )
        self.net.daemons_by_name[name] = daemon
        await daemon.start()

    def give_disk(self, name: str, stored: Stored) -> None:
        """Replaces the disk of a daemon that does not run.

        :param name: its name.
        :param stored: content of the new disk.
        """
        self._disks_by_name[name] = Disk(stored, self.clock, self.rng)

    async def crash(self, name: str, down_s: float) -> None:
        """Ends a daemon; what it had not synced may be lost.

        :param name: its name.
        :param down_s: seconds until it is started again.
        """
        daemon = self.net.daemons_by_name.pop(name)
        self.down[name] = self.clock.now() + down_s
        self._disks_by_name[name].crash()
        await daemon.crash()

    async def revive(self, at_once: bool = False) -> None:
        """Starts the daemons whose time has come.

        :param at_once: starts all.
        """
        for name, at in list(self.down.items()):
            if at_once or self.clock.now() >= at:
                self.down.pop(name)
                await self.start(name)

    async def until(self, check: Any, limit_s: float = 60) -> None:
        """Waits in virtual time.

        :param check: function that returns a bool.
        :param limit_s: virtual seconds.
        :raises AssertionError: if it does not hold in time.
        """
        end = self.clock.now() + limit_s
        while not check():
            if self.clock.now() > end:
                raise AssertionError(f'not reached within {limit_s} s')
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Ends everything."""
        for name in list(self.net.daemons_by_name):
            await self.crash(name, 0)

    async def _persist(self, operation: Any) -> None:
        for _ in range(200):
            await asyncio.sleep(0.1)
            leader = self.leader()
            if leader is None:
                continue
            with contextlib.suppress(ConsensusError):
                return await operation(leader.control.replica)
        raise AssertionError('the group was not created')

    async def _add(self, member: Member, replica: Any) -> None:
        await replica.add_learner(member)

    async def _promote(self, replica_id: str, replica: Any) -> None:
        await replica.promote(replica_id)
