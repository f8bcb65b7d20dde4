"""The state of the control stream to one entry, on the leader."""

import asyncio
import itertools

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.control.entry_leases import LEASE_S, EntryLeases
from geraniumrail.control.group_info import GroupInfo
from geraniumrail.control.part_hazards import PartHazards
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.core.backend import Backend
from geraniumrail.core.departure import Departure
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.packed import DeploymentPacker, sent_part
from geraniumrail.links.messages import ControlUpdate, EntryInfo, EntryReport
from geraniumrail.settings.node import Node
from geraniumrail.state.booking import Booking
from geraniumrail.state.move import Move
from geraniumrail.state.tables import Tables

RECENT_MOVES = 8


class EntrySession:
    """Builds the updates of one stream; lists that have not changed are not sent again."""

    def __init__(
        self, first: EntryReport, term: int, packer: DeploymentPacker | None = None
    ) -> None:
        """Starts from the first report.

        :param first: first report; says which versions the entry has.
        :param term: term of the leadership that serves the stream.
        :param packer: shared by the sessions.
        """
        self.term = term
        self._packer = packer or DeploymentPacker()
        self._takes_packed = first.takes_packed
        self.info = first.info
        self.wake = asyncio.Event()
        self._answered_sequence = first.sequence
        self._sent_revision = first.info.applied_revision
        self._sent_registry_version = first.registry_version
        self.lacks_backends = first.registry_version < 0
        self._sent_deployment_version = first.deployment_version
        self._sent_members: tuple[str, ...] = ()
        self._sent_moves: tuple[Move, ...] | None = None
        self._sent_entries: tuple[EntryInfo, ...] | None = None
        self._sent_departure = 0
        self._sent_hazards: PartHazards | None = None
        self._sent_rates: dict[str, float] | None = None
        self._sent_evacuated: tuple[str, ...] | None = None
        self._sent_cold_rates: dict[str, float] | None = None

    def receive_report(self, report: EntryReport) -> None:
        """Records a report, which the next update will answer.

        :param report: the report.
        """
        self.info = report.info
        self._answered_sequence = report.sequence
        self.wake.set()

    def build_update(
        self,
        tables: Tables,
        registry: BackendRegistry,
        leases: EntryLeases,
        usage_shares: UsageShares,
        group: GroupInfo | None = None,
        noted: tuple[Backend, ...] = (),
        hazards: PartHazards | None = None,
    ) -> ControlUpdate:
        """Builds the next update and records what has been sent.

        :param tables: replicated state.
        :param registry: announced backend servers.
        :param leases: entries with a lease.
        :param usage_shares: shares of the organisations' limits.
        :param group: members of the group, and the time.
        :param noted: backend servers noted in the log that have not announced themselves yet.
        :param hazards: prompt parts that crash backend servers.
        """
        known_group = group or GroupInfo()
        known_hazards = hazards or PartHazards()
        changed = known_hazards.changed_since(self._sent_hazards)
        self._sent_hazards = known_hazards
        deployment = self._deployment(tables)
        difference = registry.difference_since(self._sent_registry_version, self.info)
        update = ControlUpdate(
            term=self.term,
            answers=self._answered_sequence,
            lease_s=LEASE_S,
            revision=tables.tree.revision,
            nodes=self._nodes(tables),
            moves=self._moves(tables),
            registry_version=difference.version,
            registry_full=difference.full,
            backends=difference.backends,
            loads=difference.loads,
            gone=difference.gone,
            departures=self._departures(tables),
            noted=noted,
            entries=self._entries(leases, tables),
            share=usage_shares.share(self.info.entry),
            drained=tuple(tables.drains_by_target),
            assigned=self._assigned(tables),
            deployment_version=tables.deployment.version,
            deployment=None if self._takes_packed else deployment,
            packed_deployment=self._packed(deployment),
            members=self._members(known_group),
            wall_error_s=known_group.wall_error_s,
            window_s=known_group.window_s,
            engine_rates=self._engine_rates(known_group),
            cold_rates=self._cold_rates(known_group),
            quarantines=changed.quarantines,
            watched=changed.watched,
            trials=changed.trials,
            evacuated=self._evacuated(tables),
        )
        self._sent_revision = tables.tree.revision
        self._sent_registry_version = difference.version
        self.lacks_backends = False
        return update

    def _engine_rates(self, group: GroupInfo) -> dict[str, float] | None:
        if group.engine_rates == self._sent_rates:
            return None
        self._sent_rates = group.engine_rates
        return group.engine_rates

    def _evacuated(self, tables: Tables) -> tuple[str, ...] | None:
        evacuated = tuple(sorted(tables.evacuations_by_data_centre))
        if evacuated == self._sent_evacuated:
            return None
        self._sent_evacuated = evacuated
        return evacuated

    def _cold_rates(self, group: GroupInfo) -> dict[str, float] | None:
        if group.cold_rates is None or group.cold_rates == self._sent_cold_rates:
            return None
        self._sent_cold_rates = group.cold_rates
        return group.cold_rates

    def _members(self, group: GroupInfo) -> tuple[str, ...]:
        if group.members == self._sent_members:
            return ()
        self._sent_members = group.members
        return group.members

    def _deployment(self, tables: Tables) -> Deployment | None:
        current = tables.deployment
        if current.version <= self._sent_deployment_version:
            return None
        self._sent_deployment_version = current.version
        return current if self._takes_packed else sent_part(current)

    def _packed(self, deployment: Deployment | None) -> bytes:
        if deployment is None or not self._takes_packed:
            return b''
        return self._packer.pack(deployment)

    def _departures(self, tables: Tables) -> tuple[Departure, ...]:
        newest_first = reversed(tables.departures_by_instance.values())
        unsent = itertools.takewhile(lambda each: each.number > self._sent_departure, newest_first)
        departures = tuple(unsent)
        self._sent_departure = tables.last_departure
        return departures

    def _nodes(self, tables: Tables) -> tuple[Node, ...]:
        return tuple(
            tables.tree.nodes_by_path[path]
            for path, revision in tables.revisions_by_path.items()
            if revision > self._sent_revision
        )

    def _moves(self, tables: Tables) -> tuple[Move, ...]:
        moves = tuple(tables.moves_by_id.values())
        recent = tuple(move for move in moves if move.running() or move in moves[-RECENT_MOVES:])
        if recent == self._sent_moves:
            return ()
        self._sent_moves = recent
        return recent

    def _entries(self, leases: EntryLeases, tables: Tables) -> tuple[EntryInfo, ...]:
        entries = leases.public_entries(tables.drains_by_target)
        if entries is self._sent_entries:
            return ()
        self._sent_entries = entries
        return entries

    def _assigned(self, tables: Tables) -> tuple[Booking, ...]:
        open_bookings = (tables.bookings_by_label[label] for label in tables.open_labels)
        return tuple(
            booking
            for booking in open_bookings
            if booking.owner == self.info.entry and booking.handovers
        )
