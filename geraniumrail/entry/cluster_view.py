"""What this entry knows of settings, moves, backend servers and other entries."""

import asyncio
import contextlib
from collections.abc import Iterable

from geraniumrail.core.addresses import Addresses
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.packed import unpack
from geraniumrail.deployment.route_table import RouteTable
from geraniumrail.entry import events
from geraniumrail.entry.known_departures import KnownDepartures
from geraniumrail.entry.known_evacuations import KnownEvacuations
from geraniumrail.fairness.entry_count import EntryCount
from geraniumrail.links.messages import ControlUpdate, EntryInfo
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.settings.effective import Effective
from geraniumrail.settings.node import Node
from geraniumrail.settings.resolve import resolve
from geraniumrail.settings.tree import Tree
from geraniumrail.state.move import Move

# Longer than the lease of an announcement and its renewal at another entry.
CONFIRM_S = 15.0


class ClusterView:
    """Updated by the follower task; read by the tasks of requests.

    Invariant: `tree.revision` and `table.version` never fall, so the entry never serves older
    settings than before.
    """

    def __init__(self, clock: Clock, knowledge: BackendTracker) -> None:
        """Starts empty and without a lease.

        :param clock: time.
        :param knowledge: routing's view of the backend servers.
        """
        self.tree = Tree.empty()
        self.table = RouteTable(Deployment())
        self.window_s: float = 0
        self.moves_by_id: dict[str, Move] = {}
        self.backends_by_instance: dict[str, Backend] = {}
        self.entries: tuple[EntryInfo, ...] = ()
        self.entry_count = EntryCount()
        self.drained: frozenset[str] = frozenset()
        self.evacuations = KnownEvacuations()
        self.registry_version = -1
        self.answered_at: float = 0  # when the newest report was sent that control has answered
        self.knowledge = knowledge
        self._clock = clock
        self._term = 0
        self._lease_until: float = 0
        self._addresses = Addresses()
        self._unconfirmed: set[str] = set()
        self._departures = KnownDepartures()
        self._confirm_until: float = 0
        self._lease_gained = asyncio.Event()
        self._lease_lost_at = clock.now()
        self._true_wall_at: tuple[float, float] = (0, 0)  # agreed time of day, and clock then

    def true_wall(self) -> float:
        """Returns the time of day that most processes agree on, in seconds since 1970."""
        wall, at = self._true_wall_at
        return wall + self._clock.now() - at

    def holds_lease(self) -> bool:
        """Returns whether the entry may serve with the settings that it has."""
        return self._clock.now() < self._lease_until

    async def wait_for_lease(self, limit_s: float, lost_within_s: float) -> bool:
        """Waits for a lease that was lost just now; tells whether it is held.

        :param limit_s: seconds to wait at most.
        :param lost_within_s: after this time without a lease it is not waited for.
        """
        if not self.holds_lease() and self._clock.now() - self._lease_lost_at < lost_within_s:
            self._lease_gained.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await self._lease_gained.wait()
        return self.holds_lease()

    def lease_left_s(self) -> float:
        """Returns the seconds until the settings lease runs out."""
        return max(0, self._lease_until - self._clock.now())

    def take(self, update: ControlUpdate, sent_at: float) -> bool:
        """Applies an update of the control leader.

        :param update: differences since the last update.
        :param sent_at: monotonic seconds when the report that it answers was sent.
        :returns: False if the update is older than what the entry has served.
        """
        if update.term < self._term or update.revision < self.tree.revision:
            return False
        if update.deployment_version < self.table.version:
            return False
        self._term = update.term
        self._take_settings(update)
        deployment = update.deployment or unpack(update.packed_deployment)
        if deployment is not None and deployment.version > self.table.version:
            self.table = RouteTable(deployment)
            log(events.DEPLOYMENT_APPLIED, version=self.table.version)
        self.window_s = update.window_s
        now = self._clock.now()
        self._true_wall_at = (self._clock.wall() - update.wall_error_s, now)
        self._take_registry(update)
        if update.entries:
            self.entries = update.entries
        self.entry_count.observe(update.share.entries, now)
        self.drained = frozenset(update.drained)
        self.evacuations.take(update, self.backends_by_instance.values())
        self._renew(sent_at + update.lease_s)
        self.answered_at = max(self.answered_at, sent_at)
        return True

    def forget_unconfirmed(self) -> None:
        """Drops backend servers that a new control leader has not heard of in time."""
        if self._unconfirmed and self._clock.now() > self._confirm_until:
            for instance in self._unconfirmed:
                self._drop(instance)
            self._unconfirmed = set()

    def forget(self, instance: str) -> None:
        """Drops a backend server until it announces itself again, since another has its address.

        :param instance: the backend server.
        """
        if instance in self.backends_by_instance:
            log(events.BACKEND_DROPPED, instance=instance, registry=self.registry_version)
            self._unconfirmed.discard(instance)
            self._drop(instance)

    def _drop(self, instance: str) -> None:
        self.backends_by_instance.pop(instance, None)
        self._addresses.remove(instance)
        self.knowledge.remove(instance)

    def end_lease(self) -> None:
        """Notes that the lease ran out, once."""
        if self._lease_until and not self.holds_lease():
            self._lease_lost_at = self._lease_until
            self._lease_until = 0
            log(events.LEASE_LOST, revision=self.tree.revision)

    def observe(self, backends: Iterable[Backend]) -> None:
        """Takes announcements that reached this entry directly or from another entry.

        :param backends: announcements.
        """
        now = self._clock.now()
        for backend in backends:
            known = self.backends_by_instance.get(backend.instance)
            if known is not None and backend.freshness < known.freshness:
                continue
            if self._departures.has_left(backend) or self._addresses.is_replaced(backend):
                continue
            replaced = self._addresses.add(backend)
            if replaced is not None:
                self.forget(replaced)
            if backend.state == 'leaving' and (known is None or known.state != 'leaving'):
                log(events.BACKEND_LEAVING, instance=backend.instance, service=backend.service)
            self.backends_by_instance[backend.instance] = backend
            self._unconfirmed.discard(backend.instance)
            self.knowledge.observe(backend, now)
            self.knowledge.cold.observe(backend, now)

    def usable(self, service: str) -> list[Backend]:
        """Returns the backend servers of a service that may get new work.

        :param service: name of the service.
        """
        now = self._clock.now()
        return [
            backend
            for backend in self.backends_by_instance.values()
            if backend.service == service
            and backend.instance not in self.drained
            and not self.evacuations.hold_back(backend)
            and self.knowledge.is_usable(backend, now)
        ]

    def candidates(self, service: str) -> list[Backend]:
        """Returns the usable backend servers whose load this entry gets.

        :param service: name of the service.
        """
        usable = self.usable(service)
        # A backend server without a load report looks idle to every entry that lacks it.
        return [backend for backend in usable if backend.load_known] or usable

    def servers(self, service: str) -> list[Backend]:
        """Returns the backend servers of a service that may get requests, if only about old work.

        :param service: name of the service.
        """
        return [
            backend
            for backend in self.backends_by_instance.values()
            if backend.service == service and not self.evacuations.hold_back(backend)
        ]

    def effective(self, organisation: str, service: str, route: str) -> Effective:
        """Returns the effective settings.

        :param organisation: organisation of the caller.
        :param service: name of the service.
        :param route: name of the route.
        """
        return resolve(self.tree, organisation, service, route)

    def running_move(self, service: str) -> Move | None:
        """Returns the running version move of a service.

        :param service: name of the service.
        """
        running = (move for move in self.moves_by_id.values() if move.running())
        return next((move for move in running if move.service == service), None)

    def version_shares(self, service: str) -> tuple[tuple[str, float], ...]:
        """Returns the share of new work for each version; empty if any version may serve.

        :param service: name of the service.
        """
        move = self.running_move(service)
        if move is not None:
            return ((move.from_version, 1 - move.share), (move.to_version, move.share))
        version = self.effective('*', service, '').version
        return ((version, 1.0),) if version else ()

    def _take_settings(self, update: ControlUpdate) -> None:
        self.moves_by_id.update({move.move_id: move for move in update.moves})
        if update.revision > self.tree.revision:
            nodes: dict[str, Node] = dict(self.tree.nodes_by_path)
            nodes.update({node.path: node for node in update.nodes})
            self.tree = Tree(revision=update.revision, nodes_by_path=nodes)
            log(events.REVISION_APPLIED, revision=update.revision, nodes=len(update.nodes))

    def _take_registry(self, update: ControlUpdate) -> None:
        self.registry_version = update.registry_version
        if update.registry_full:
            # A new leader hears of backend servers little by little, so none is dropped at once.
            self._unconfirmed = set(self.backends_by_instance)
            self._confirm_until = self._clock.now() + CONFIRM_S
        now = self._clock.now()
        self._departures.add(update.departures, now)
        for backend in update.backends:
            # Control has checked it against all departures, some of which may have ended there.
            self._departures.remove(backend.instance)
        self.observe(update.backends)
        for note in update.noted:
            is_replaced = self._addresses.is_replaced(note)
            if note.instance not in self.backends_by_instance and not is_replaced:
                # Its lease is short: until it has announced itself, or is gone.
                self.backends_by_instance[note.instance] = note
                self.knowledge.observe(note, now)
                self.knowledge.cold.observe(note, now)
                self._unconfirmed.add(note.instance)
        for row in update.loads:
            known = self.backends_by_instance.get(row.i)
            if known is not None and known.sequence < row.s:
                self.backends_by_instance[row.i] = row.renew(known)
                self.knowledge.observe(self.backends_by_instance[row.i], now)
        departed = (
            departure.instance
            for departure in update.departures
            if (known := self.backends_by_instance.get(departure.instance)) is not None
            and departure.covers(known)
        )
        for instance in dict.fromkeys((*update.gone, *departed)):
            log(events.BACKEND_DROPPED, instance=instance, registry=update.registry_version)
            self._drop(instance)

    def _renew(self, until: float) -> None:
        if not self.holds_lease():
            log(events.LEASE_GAINED, term=self._term, revision=self.tree.revision)
        self._lease_until = max(self._lease_until, until)
        self._lease_gained.set()
