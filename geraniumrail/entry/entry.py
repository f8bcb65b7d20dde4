"""The entry role of one process."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

from geraniumrail.backends.chunk import Chunk
from geraniumrail.backends.connections import Connections
from geraniumrail.backends.engine_client import EngineClient
from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.core.ids import new_id
from geraniumrail.entry import events
from geraniumrail.entry.announces import Announces
from geraniumrail.entry.bookings import Bookings
from geraniumrail.entry.borrower import Borrower
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.completion_run import CompletionRun
from geraniumrail.entry.completions import Completions, Place
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.follower import Follower
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.entry.leaving_notices import LeavingNotices
from geraniumrail.entry.local_directory import LocalDirectory
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.entry.plain_call import PlainAnswer, PlainCall
from geraniumrail.entry.plain_calls import PlainCalls, PlainParts
from geraniumrail.entry.reporter import Reporter
from geraniumrail.errors.request import NotRunError
from geraniumrail.fairness.leaderless_admission import LeaderlessAdmission
from geraniumrail.fairness.quota import Quota
from geraniumrail.fairness.retry_budget import RetryBudget
from geraniumrail.forwarding.config import ForwardingConfig
from geraniumrail.forwarding.demand import DemandCounter
from geraniumrail.forwarding.dialect import Dialect, NoDialect
from geraniumrail.forwarding.forwarder import Forwarder
from geraniumrail.forwarding.limit_lender import NoLender
from geraniumrail.forwarding.parts import Parts
from geraniumrail.forwarding.places import Places
from geraniumrail.forwarding.recorder import Recorder
from geraniumrail.forwarding.usage_counter import UsageCounter
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.messages import ControlUpdate, EntryInfo
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.server import LinkServer
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.relay.paths import Paths
from geraniumrail.relay.server import RelayServer
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.tasks.ending import end_tasks
from geraniumrail.tasks.supervise import supervise

RENEW_IN_S = 2.0
TICK_S = 0.1
OTHERS_LEASE_S = 4.0  # longest time for which another entry serves without hearing of a change
LEAVE_LIMIT_S = 10.0  # without a control leader for so long, no entry answers /v1/entries
MS_PER_S = 1000


class Entry:
    """Implements `callers.serving.Serving`."""

    def __init__(
        self,
        config: DaemonConfig,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect | None = None,
        forwarding: ForwardingConfig | None = None,
        datagrams: Datagrams | None = None,
        capacity: float = 1,
    ) -> None:
        """Connects the parts.

        :param config: settings file.
        :param links: connections to other daemons.
        :param clock: time.
        :param rng: source of routing draws.
        :param dialect: of the backend servers to which requests are forwarded.
        :param forwarding: settings of the requests that are forwarded.
        :param datagrams: for questions about limits; None: limits are divided as a whole.
        :param capacity: what the machine can bear, relative to those of the other entries.
        """
        self.entry_id = new_id(config.instance)
        self.view = ClusterView(clock, BackendTracker())
        self.directory = LocalDirectory(self.entry_id, self.view)
        self._config = config
        self._clock = clock
        self._announces = Announces(clock)
        finder = LeaderFinder(config.control.seeds)
        self.learn_seeds = finder.learn
        self.control = ControlLink(finder, links, clock, rng)
        self._outcomes = Outcomes(self.view, clock)
        forwarded = forwarding or ForwardingConfig()
        paths = Paths(self.entry_id, self.view, links, clock, rng)
        self._watch = PartWatch(clock, paths.has_ended)
        self.relay = RelayServer(self.view, paths.reach, forwarded.connections)
        self._connections = Connections.from_config(forwarded.connections, paths)
        place = Place(self.entry_id, config.data_centre, config.region)
        engine_client = EngineClient(self._connections)
        retries = RetryBudget(
            forwarded.retry_limit, lambda: self.view.entry_count.highest, clock.now()
        )
        self._completions = Completions(
            place,
            self.view,
            self._outcomes,
            self._watch,
            retries,
            engine_client,
            clock,
            rng,
        )
        service_client = ServiceClient(self._connections)
        self._bookings = Bookings(
            self.entry_id,
            self.view,
            self._outcomes,
            self._watch,
            self.control,
            service_client,
            clock,
            rng,
        )
        parts = PlainParts(
            view=self.view,
            outcomes=self._outcomes,
            limits=self._completions.limits,
            retries=retries,
            client=service_client,
            watch=self._watch,
            clock=clock,
            rng=rng,
        )
        self._plain = PlainCalls(parts, self._bookings, config.data_centre, config.region)
        self.forwarder = Forwarder(
            Parts(
                view=self.view,
                watch=self._watch,
                outcomes=self._outcomes,
                connections=self._connections,
                dialect=dialect or NoDialect(),
                quota=Quota(
                    forwarded.quota_headroom,
                    forwarded.quota_slack,
                    clock.now(),
                    has_central_buckets=datagrams is not None,
                ),
                lender=NoLender()
                if datagrams is None
                else Borrower(datagrams, finder, clock, rng, lambda: self.view.answered_at),
                leaderless=LeaderlessAdmission(rng),
                retries=retries,
                usage=UsageCounter(),
                demand=DemandCounter(),
                places=Places(self.view, clock),
                clock=clock,
                rng=rng,
                recorder=Recorder(),
                config=forwarded,
                data_centre=config.data_centre,
                region=config.region,
            )
        )
        self._notices = LeavingNotices(self.entry_id, self.view, links)
        self._reporter = Reporter(
            info=EntryInfo(
                entry=self.entry_id,
                instance=config.instance,
                address=config.callers.listen,
                peer_address=config.peers.listen,
                data_centre=config.data_centre,
                region=config.region,
                capacity=capacity,
            ),
            view=self.view,
            announces=self._announces,
            outcomes=self._outcomes,
            completions=self._completions,
            forwarder=self.forwarder,
            clock=clock,
            reported_at=clock.now(),
        )
        self._follower = Follower(
            self.view,
            self._announces,
            finder,
            links,
            clock,
            self._reporter.build,
        )
        self._follower.listeners.append(self._updated)
        self._follower.resumed.append(self._watch.requeue_all)
        self._watch.on_news = self._follower.poke
        limits = self.view.knowledge.limits
        self._follower.resumed.append(lambda: limits.requeue_all(clock.now()))
        limits.on_news = self._follower.poke
        cold = self.view.knowledge.cold
        self._follower.resumed.append(lambda: cold.requeue_all(clock.now()))
        cold.on_news = self._follower.poke
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_config(
        cls,
        config: DaemonConfig,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect | None = None,
        forwarding: ForwardingConfig | None = None,
        datagrams: Datagrams | None = None,
        capacity: float = 1,
    ) -> 'Entry':
        """Creates the entry role of a settings file.

        :param config: settings file.
        :param links: connections to other daemons.
        :param clock: time.
        :param rng: source of routing draws.
        :param dialect: of the backend servers to which requests are forwarded.
        :param forwarding: settings of the requests that are forwarded.
        :param datagrams: for questions about limits; None: limits are divided as a whole.
        :param capacity: what the machine can bear, relative to those of the other entries.
        """
        return cls(config, links, clock, rng, dialect, forwarding, datagrams, capacity)

    def register(self, server: LinkServer) -> None:
        """Handles the records that other entries send.

        :param server: the links of this process.
        """
        self._notices.register(server)
        self.relay.register(server)

    async def start(self) -> None:
        """Starts the background tasks."""
        self._tasks = [
            asyncio.create_task(supervise(name, work), name=name)
            for name, work in (
                ('follower', self._follower.run),
                ('tick', self._tick),
                ('leaving-notices', self._notices.run),
            )
        ]

    async def stop(self) -> None:
        """Stops the background tasks."""
        await end_tasks(self._tasks)
        await self._connections.close()

    async def drain(self) -> None:
        """Leaves the list of entries and waits until no caller needs this entry any more."""
        self._reporter.state = 'leaving'
        self.directory.is_leaving = True
        self.relay.is_leaving = True
        left_at = self._clock.now()
        self._follower.poke()
        while self.view.answered_at < left_at and self._clock.now() < left_at + LEAVE_LIMIT_S:
            await self._clock.sleep(TICK_S)
        keep_for_s = self.view.effective('*', '', '').keep_for_s
        log(events.PLANNED_STOP, step='left the list of entries', keep_for_s=keep_for_s)
        # Callers keep the answer of /v1/entries for so long. Other entries hear of the change at
        # once, or stop answering when their lease ends.
        await self._clock.sleep(keep_for_s + OTHERS_LEASE_S)
        while self.in_progress:
            log(events.PLANNED_STOP, step='finishing requests', in_progress=self.in_progress)
            await self._clock.sleep(0.2)
        log(events.PLANNED_STOP, step='no request in progress')

    def leave(self, ends_at: float) -> None:
        """Begins a planned stop without waiting for its end.

        :param ends_at: when the answers of all requests are due, by the entry's clock.
        """
        self._reporter.state = 'leaving'
        self.directory.is_leaving = True
        self.relay.is_leaving = True
        self.forwarder.leave(ends_at)
        self._follower.poke()

    @property
    def in_progress(self) -> int:
        """Number of requests that this entry works on."""
        return (
            self.forwarder.in_progress
            + self._completions.in_progress
            + self._plain.in_progress
            + self._bookings.in_progress
        )

    def require_lease(self) -> None:
        """Checks that the entry may serve.

        :raises NotRunError: without a settings lease.
        """
        if not self.view.holds_lease():
            raise NotRunError(reason='this entry has lost contact with control')

    def entry_addresses(self) -> tuple[list[str], float]:
        """Returns the addresses for callers and how long to keep them, in seconds."""
        keep_for_s = self.view.effective('*', '', '').keep_for_s
        return [info.address for info in self.directory.entries()], keep_for_s

    def queue_depths(self) -> dict[str, int]:
        """Returns the number of requests that wait, by service."""
        return self._completions.queue_depths()

    def models(self) -> list[str]:
        """Returns the announced models."""
        return self._completions.models()

    def service_of(self, model: str) -> str:
        """Returns the service that serves a model.

        :param model: name of the model.
        :raises UnknownModelError: if there is none.
        """
        return self._completions.service_of(model)

    async def complete(self, call: CompletionCall) -> AsyncIterator[Chunk]:
        """Yields the answer to a completion.

        :param call: the request.
        """
        run = CompletionRun(call, self._completions)
        async with contextlib.aclosing(run.chunks()) as chunks:
            async for chunk in chunks:
                yield chunk

    async def call_service(self, call: PlainCall) -> PlainAnswer:
        """Sends a request to a plain service.

        :param call: the request.
        """
        return await self._plain.call(call)

    def announce(self, backend: Backend) -> float:
        """Takes an announcement and returns after how many seconds to renew it.

        :param backend: the announcement.
        """
        if not backend.sequence:
            sequence = int(self._clock.wall() * MS_PER_S)
            backend = dataclasses.replace(backend, sequence=sequence)
        known = self.view.backends_by_instance.get(backend.instance)
        self._announces.add(backend)
        self.view.observe((backend,))
        self._completions.reported((backend.instance,))
        is_changed = known is None or known.state != backend.state
        # Control must hear at once that a server has become cold: it gives the rates.
        if is_changed or backend.cold_s > 0:
            self._follower.poke()
            if is_changed and backend.state == 'leaving':
                self._notices.add(backend)
        self._completions.pump()
        return RENEW_IN_S

    def ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return self._reporter.state == 'serving' and self.view.holds_lease()

    def max_body_bytes(self) -> int:
        """Returns the limit of a request body."""
        in_tree = self.view.effective('*', '', '').max_body_bytes
        return min(in_tree, self._config.limits.max_body_bytes)

    def _updated(self, update: ControlUpdate) -> None:
        self._outcomes.follow_moves()
        limits = self.view.knowledge.limits
        limits.entries = self.view.entry_count.highest
        now = self._clock.now()
        limits.take_allotted(update.engine_rates, now)
        cold = self.view.knowledge.cold
        cold.follow(self.view.table.services_by_name.values())
        cold.take_rates(update.cold_rates, update.term, now + self.view.lease_left_s(), now)
        self._watch.take(update.quarantines, update.watched, update.trials)
        self._completions.limits.update(update.share)
        self.forwarder.parts.quota.update(update.share, self._clock.now())
        self._completions.reported(backend.instance for backend in update.backends)
        self._completions.reported(row.i for row in update.loads)
        if update.assigned:
            self._bookings.take_over(update.assigned)
        self._completions.pump()

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep(TICK_S)
            self.view.end_lease()
            self.view.forget_unconfirmed()
            self._completions.pump()
