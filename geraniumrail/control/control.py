"""The control role of one process."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable

from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.file_storage import FileStorage
from geraniumrail.consensus.founding import founding_state
from geraniumrail.consensus.interfaces import LogStorage
from geraniumrail.consensus.memory_storage import MemoryStorage
from geraniumrail.consensus.replica import Replica
from geraniumrail.control import events
from geraniumrail.control.booking_reassignment import BookingReassignment
from geraniumrail.control.booking_waiters import BookingWaiters
from geraniumrail.control.departures import Departures
from geraniumrail.control.evacuations import Evacuations
from geraniumrail.control.group_repair import GroupRepair
from geraniumrail.control.joiner import Joiner
from geraniumrail.control.leader_job import LeaderJob
from geraniumrail.control.leadership import Leadership
from geraniumrail.control.members import Members
from geraniumrail.control.move_runner import MoveRunner
from geraniumrail.control.order_sender import OrderSender
from geraniumrail.control.peer_transport import PeerTransport, register_replica
from geraniumrail.control.proposer import Proposer
from geraniumrail.control.publisher import Publisher
from geraniumrail.control.quarantines import Quarantines
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import ConsensusError
from geraniumrail.links.messages import AwaitBooking, BookingNow, Propose, Proposed
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.requests import Join
from geraniumrail.links.server import LinkServer
from geraniumrail.state import commands
from geraniumrail.state.machine import Machine
from geraniumrail.tasks.supervise import log_crash, supervise

TICK_S = 0.2
# Interval while this process is not the active leader; shorter, since an elected leader serves no
# requests until it is active.
ACTIVATION_TICK_S = 0.05
BOOKING_EXPIRY_INTERVAL_S = 300.0
ANSWER_RETENTION_S = 86_400.0


class Control:
    """The replica of this process, and the jobs that it runs while it is the leader."""

    def __init__(
        self,
        config: DaemonConfig,
        storage: LogStorage,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
        window_s: float = 0,
        leader_contact_at: float | None = None,
    ) -> None:
        """Connects the parts.

        :param config: settings file.
        :param storage: the replica's log.
        :param links: connections to other daemons.
        :param clock: time.
        :param rng: source of election jitter.
        :param window_s: length of a usage window in seconds; 0: usage is not reported.
        :param leader_contact_at: latest time at which this replica may have had contact to a
            leader, by the same clock; None: now.
        """
        self.machine = Machine()
        transport = PeerTransport(links)
        self.replica = Replica.from_config(
            _replica_config(config),
            storage,
            transport,
            self.machine,
            clock,
            rng,
            leader_contact_at,
        )
        self.leadership = Leadership(self.replica)
        self.proposer = Proposer(self.replica)
        self.publisher = Publisher(self.machine, self.leadership, clock, self.addresses, window_s)
        self.departures = Departures(
            self.machine, self.publisher, self.proposer, self.agreed_wall_time
        )
        self.evacuations = Evacuations(
            self.machine, self.replica, self.proposer, self.agreed_wall_time
        )
        self.jobs: list[LeaderJob] = [
            self.departures,
            Quarantines(self.machine, self.publisher, self.proposer, clock, self.agreed_wall_time),
        ]
        self.members = Members(self.replica, transport, config.control.seeds)
        self.orders = OrderSender(
            self.machine,
            self.leadership,
            self.publisher,
            self.proposer,
            clock,
        )
        self._booking_waiters = BookingWaiters(self.machine)
        self._reassignment = BookingReassignment(self.machine, self.publisher, self.proposer, clock)
        self._move_runner = MoveRunner(self.machine, self.proposer, clock)
        self.publisher.report_sinks.append(self._move_runner)
        self._group_repair = GroupRepair(self.replica, config.control.voters, clock)
        self._joiner = Joiner(self.replica, config.peers.listen, config.control.seeds, links, clock)
        self._repairs_group = config.control.voters > 0
        self._seeds = config.control.seeds
        self._clock = clock
        self._last_expiry_at = clock.now()
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls,
        config: DaemonConfig,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
        window_s: float = 0,
        leader_contact_at: float | None = None,
    ) -> 'Control':
        """Creates the control role of a settings file.

        :param config: settings file.
        :param links: connections to other daemons.
        :param clock: time.
        :param rng: source of election jitter.
        :param window_s: length of a usage window in seconds; 0: usage is not reported.
        :param leader_contact_at: latest time at which this replica may have had contact to a
            leader, by the same clock; None: now.
        :raises LogDamagedError: if the data folder is damaged.
        """
        folder = config.control.data_folder
        if folder is None:
            storage: LogStorage = MemoryStorage.create(config.instance)
        else:
            address = config.peers.listen
            is_founder = config.control.found
            founding_log = founding_state(address, config.control.seeds) if is_founder else None
            repairs = config.control.voters > 0
            storage = FileStorage.open(
                folder, config.instance, founding_log, rename_damaged=repairs
            )
        return cls(config, storage, links, clock, rng, window_s, leader_contact_at)

    def register(self, server: LinkServer) -> None:
        """Registers the handlers for requests of other daemons.

        :param server: the link server of this process.
        """
        register_replica(server, self.replica)
        server.register(Propose, self._propose)
        server.register(AwaitBooking, self._await_booking)
        server.register_follow(self.publisher.stream_updates)
        if self._repairs_group:
            server.register(Join, self._join)

    async def start(self) -> None:
        """Starts the replica and the leader's tasks."""
        await self.replica.start()
        functions_by_name = {'control': self._run}
        if self._repairs_group:
            functions_by_name['joiner'] = self._joiner.run
        self._tasks = [
            asyncio.create_task(supervise(name, work), name=name)
            for name, work in functions_by_name.items()
        ]

    async def transfer_leadership(self) -> None:
        """Transfers leadership to another member, if this process is the leader."""
        if not self.leadership.is_active():
            return
        try:
            await self.replica.transfer_leadership()
        except ConsensusError as error:
            log(events.TASK_FAILED, task='transfer_leadership', reason=str(error))

    async def stop(self) -> None:
        """Transfers leadership and stops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.transfer_leadership()
        await self.replica.stop()

    def addresses(self) -> tuple[str, ...]:
        """Returns the link addresses of the members and seeds, without repeats."""
        members = (member.address for member in self.replica.status().members)
        return tuple(dict.fromkeys((*members, *self._seeds)))

    def learn_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds.

        :param seeds: ip:port of members' links.
        """
        self._seeds = seeds
        self._joiner.learn_seeds(seeds)

    def version_in_use(self, service: str, excluded_version: str) -> str:
        """Returns the version that most backend servers of a service have.

        :param service: name of the service.
        :param excluded_version: version that does not count.
        """
        known = self.publisher.registry.registered_by_instance.values()
        versions = collections.Counter(
            registered.backend.version
            for registered in known
            if registered.backend.service == service
            and registered.backend.version != excluded_version
        )
        return max(versions, key=versions.get, default='')

    def agreed_wall_time(self) -> float:
        """Returns the median time of day of the processes, in seconds since 1970."""
        return self.publisher.median_clock.wall(self._clock.wall(), self._clock.now())

    def now(self) -> float:
        """Returns monotonic seconds."""
        return self._clock.now()

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return self._clock.wall()

    async def sleep(self, seconds: float) -> None:
        """Waits.

        :param seconds: duration.
        """
        await self._clock.sleep(seconds)

    async def _join(self, request: Join) -> object:
        self.leadership.require_term()
        return await self._group_repair.join(request)

    async def _propose(self, request: Propose) -> Proposed:
        outcome = await self.replica.propose(request.command)
        return Proposed(result=outcome.payload)

    async def _await_booking(self, request: AwaitBooking) -> BookingNow:
        self.leadership.require_term()
        return await self._booking_waiters.wait(request)

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(TICK_S if self.leadership.is_active() else ACTIVATION_TICK_S)
            if not self.leadership.is_elected():
                continue
            if not self.leadership.is_active() and not await self._activate():
                continue
            self.publisher.tick()
            await self._run_job('ownership', self._reassignment.run_once)
            await self._run_job('moves', self._move_runner.run_once)
            if self._repairs_group:
                await self._run_job('repair', self._group_repair.run_once)
            for job in self.jobs:
                await self._run_job(job.name, job.run_once)
            await self._run_job('expiry', self._expire)

    async def _activate(self) -> bool:
        # Soft state is reset first: that of an earlier leadership must not be served.
        self.publisher.became_leader(self.replica.status().term)
        self._move_runner.became_leader()
        self.orders.became_leader()
        self._group_repair.became_leader()
        for job in self.jobs:
            job.became_leader()
        try:
            await self.leadership.activate()
        except ConsensusError:
            return False
        return True

    async def _run_job(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        try:
            await work()
        except GeraniumrailError as error:
            log(events.TASK_FAILED, task=name, reason=str(error))
        except Exception as error:  # noqa: BLE001
            # A failed job does not stop the other jobs of the leader.
            log_crash(name, error)

    async def _expire(self) -> None:
        if self._clock.now() < self._last_expiry_at + BOOKING_EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = self._clock.now()
        before = self._clock.wall() - ANSWER_RETENTION_S
        await self.proposer.propose(commands.ExpireBookings(claimed_before=before))


def _replica_config(config: DaemonConfig) -> ReplicaConfig:
    replica_config = ReplicaConfig(
        name=config.instance,
        address=config.peers.listen,
        snapshot_after_bytes=config.control.snapshot_after_bytes,
    )
    timeout_s = config.control.election_timeout_s
    return replica_config if timeout_s is None else replica_config.with_election_timeout(timeout_s)
