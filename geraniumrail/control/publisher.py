"""Serves the control streams of the entries, one task for each."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.control.cold_board import ColdBoard, Situation
from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.control.entry_session import EntrySession
from geraniumrail.control.group_info import GroupInfo
from geraniumrail.control.leadership import Leadership
from geraniumrail.control.limit_board import LimitBoard
from geraniumrail.control.median_clock import MedianClock
from geraniumrail.control.part_hazards import PartHazards
from geraniumrail.control.report_sink import ReportSink
from geraniumrail.control.usage_ledger import UsageLedger
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.departure import Departure
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.packed import DeploymentPacker
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.messages import ControlUpdate, EntryReport
from geraniumrail.quarantine.crash_ledger import CrashLedger
from geraniumrail.state import commands
from geraniumrail.state.machine import Machine
from geraniumrail.state.record_departures import RecordDepartures
from geraniumrail.state.release_quarantine import ReleaseQuarantine
from geraniumrail.state.results import EvacuationSet
from geraniumrail.state.set_evacuation import SetEvacuation
from geraniumrail.state.set_quarantines import SetQuarantines

# Load reports are sent with the answer to a report; other changes are sent at once, but not more
# often than this, so that many announcements in a short time are combined in a few updates.
MIN_UPDATE_INTERVAL_S = 0.05
REGISTRY_VERSION_BITS = 32  # low bits of a registry version; the high bits are the term
# A stream that an entry opens during an election is answered after it: searching all members again
# would take the entry longer. Shorter than the entry's timeout for a silent stream.
ELECTION_WAIT_S = 0.8
# For this time a new leader sends the noted backend servers (`BackendNotes`) to entries that have
# none; after it each backend server has announced itself (the interval is 1.2 s).
NOTES_DURATION_S = 1.6
# By which the time of day of a process may be wrong before it has heard of the others'.
CLOCK_ERROR_S = 5.0

PUBLISHED_COMMANDS = (
    commands.ChangeSettings,
    commands.StartMove,
    commands.StepMove,
    commands.EndMove,
    commands.SetDrain,
    commands.ReplaceDeployment,
    RecordDepartures,
    SetEvacuation,
    SetQuarantines,
    ReleaseQuarantine,
)


class Publisher:
    """Sends settings, moves, backend servers and entries to the entries; receives their reports."""

    def __init__(
        self,
        machine: Machine,
        leadership: Leadership,
        clock: Clock,
        members: Callable[[], tuple[str, ...]] = tuple,
        window_s: float = 0,
    ) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param leadership: tells whether this process may act.
        :param clock: time.
        :param members: returns the link addresses of the group.
        :param window_s: length of a usage window in seconds; 0: usage is not reported.
        """
        self.median_clock = MedianClock()
        self.usage_ledger = UsageLedger()
        self._members = members
        self._window_s = window_s
        self.registry = BackendRegistry(departures=self._departures)
        self.leases = EntryLeases()
        self.usage_shares = UsageShares()
        self.crash_ledger = CrashLedger()
        self.limit_board = LimitBoard()
        self.cold_board = ColdBoard()
        self._cold_is_stale = False
        self._packer = DeploymentPacker()
        self.trials_by_entry: dict[str, tuple[str, ...]] = {}
        self.report_sinks: list[ReportSink] = []
        self._machine = machine
        self._leadership = leadership
        self._clock = clock
        self._sessions_by_entry: dict[str, EntrySession] = {}
        self._leader_since = clock.now()
        machine.listen(self._on_applied)

    def became_leader(self, term: int) -> None:
        """Drops all soft state: that of an earlier leadership may be stale.

        :param term: the new term.
        """
        self._leader_since = self._clock.now()
        self.registry = BackendRegistry(term << REGISTRY_VERSION_BITS, self._departures)
        self.usage_shares = UsageShares()
        self.usage_ledger = UsageLedger()
        self.crash_ledger = CrashLedger()
        self.limit_board = LimitBoard()
        self.cold_board.became_leader()
        self.trials_by_entry = {}
        self.median_clock = MedianClock()
        self.leases.reset(self._clock.now())
        wall = self.median_clock.wall(self._clock.wall(), self._clock.now())
        ends = self._machine.tables.evacuation_ends_by_data_centre
        for data_centre, ended_at in ends.items():
            # Announcements of before may be relayed to this leader, and its clock may be wrong.
            cold_s = _longest_cold_s(self._machine.tables.deployment)
            if wall - ended_at < cold_s + CLOCK_ERROR_S:
                until = self._leader_since + cold_s
                self.cold_board.assume_cold(data_centre, until, self._leader_since, until)

    def receive_announcement(self, backend: Backend) -> None:
        """Records an announcement that a control process received.

        :param backend: the announcement.
        """
        if self.registry.observe((backend,), self._clock.now()):
            self._cold_is_stale |= self.cold_board.concerns((backend,))
            self.wake_sessions()

    def tick(self) -> None:
        """Removes expired leases; called a few times a second on the leader."""
        now = self._clock.now()
        for entry in self.leases.expire(now):
            self.usage_shares.remove(entry)
            self.wake_sessions()
        if self.registry.expire(now):
            self.wake_sessions()
        self.registry.refresh_subsets()
        self.limit_board.expire(self.registry.registered_by_instance.keys(), now)
        self._refresh_cold()

    def assume_cold(self, data_centre: str, for_s: float) -> None:
        """Treats the servers of a data centre as cold until they announce themselves.

        Only this leader knows it. The next update of each entry says so.

        :param data_centre: its name.
        :param for_s: seconds, without an announcement received later than now.
        """
        now = self._clock.now()
        self.cold_board.assume_cold(data_centre, now + for_s, now)
        self._refresh_cold()

    def _refresh_cold(self) -> None:
        self._cold_is_stale = False
        now, tables = self._clock.now(), self._machine.tables
        serving = self.leases.public_entries(tables.drains_by_target)
        situation = Situation(
            registered=self.registry.registered_by_instance,
            services=tables.deployment.services,
            leased=self.leases.leases_by_entry.keys(),
            serving=tuple(info.entry for info in serving),
            may_allot=self.leases.knows_all_leases(now),
        )
        if self.cold_board.refresh(situation, now):
            self.wake_sessions()

    def wake_sessions(self) -> None:
        """Triggers an update to every entry."""
        for session in self._sessions_by_entry.values():
            session.wake.set()

    async def stream_updates(
        self, reports: AsyncIterator[EntryReport]
    ) -> AsyncIterator[ControlUpdate]:
        """Yields the updates for one entry until its stream breaks or leadership ends.

        :param reports: the entry's reports.
        :raises NotLeaderError: if this process may not act as leader.
        """
        await self._leadership.await_election(self._clock, ELECTION_WAIT_S)
        term = self._leadership.require_term()
        first = await anext(reports)
        session = EntrySession(first, term, self._packer)
        self._receive_report(first, session)
        session.wake.set()
        self._sessions_by_entry[first.info.entry] = session
        reader = asyncio.create_task(self._read_reports(reports, session))
        try:
            while not reader.done():
                update = await self._next_update(session)
                if update is not None:
                    yield update
        finally:
            reader.cancel()
            self._remove_session(session)

    def _remove_session(self, session: EntrySession) -> None:
        if self._sessions_by_entry.get(session.info.entry) is session:
            self._sessions_by_entry.pop(session.info.entry)

    async def _next_update(self, session: EntrySession) -> ControlUpdate | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1):
                await session.wake.wait()
        self._require_term(session)
        if not session.wake.is_set():
            return None
        await asyncio.sleep(MIN_UPDATE_INTERVAL_S)
        # Checked again, since the process may have been suspended: an update renews the lease.
        self._require_term(session)
        session.wake.clear()
        return session.build_update(
            self._machine.tables,
            self.registry,
            self.leases,
            self.usage_shares,
            self._group_info(session.info.entry),
            self._noted_backends() if session.lacks_backends else (),
            self._part_hazards(session.info.entry),
        )

    def _noted_backends(self) -> tuple[Backend, ...]:
        remaining_s = self._leader_since + NOTES_DURATION_S - self._clock.now()
        if remaining_s <= 0:
            return ()
        known = self.registry.registered_by_instance
        return tuple(
            dataclasses.replace(note, lease_s=remaining_s, cold_s=remaining_s if note.cold_s else 0)
            for instance, note in self._machine.tables.noted_by_instance.items()
            if instance not in known and not self.registry.has_left(note)
        )

    def _departures(self) -> dict[str, Departure]:
        return self._machine.tables.departures_by_instance

    def _part_hazards(self, entry: str) -> PartHazards:
        quarantines = tuple(self._machine.tables.quarantines_by_label.values())
        return PartHazards.from_evidence(
            quarantines, self.crash_ledger.watched(), self.trials_by_entry.get(entry, ())
        )

    def _group_info(self, entry: str) -> GroupInfo:
        now = self._clock.now()
        if self._cold_is_stale:
            self._refresh_cold()
        return GroupInfo(
            members=self._members(),
            wall_error_s=self.median_clock.error_s(entry, self._clock.wall(), now),
            window_s=self._window_s,
            engine_rates=self._engine_rates(entry),
            cold_rates=self.cold_board.rates(entry),
        )

    def _engine_rates(self, entry: str) -> dict[str, float]:
        serving = self.leases.public_entries(self._machine.tables.drains_by_target)
        return self.limit_board.rates(entry, tuple(info.entry for info in serving))

    def _require_term(self, session: EntrySession) -> None:
        # A later leadership has a new registry, of which the entry would get only differences.
        if self._leadership.require_term() != session.term:
            raise NotLeaderError(leader=None)

    async def _read_reports(
        self, reports: AsyncIterator[EntryReport], session: EntrySession
    ) -> None:
        async for report in reports:
            self._receive_report(report, session)

    def _receive_report(self, report: EntryReport, session: EntrySession) -> None:
        now = self._clock.now()
        previous_lease = self.leases.leases_by_entry.get(report.info.entry)
        state_changed = session.info.state != report.info.state
        self.leases.renew(report.info, now, report.holds_lease)
        self.usage_shares.observe(report.info.entry, report.usage)
        self.median_clock.observe(report.info.entry, report.wall, now)
        self.usage_ledger.observe(report.info.entry, report.started)
        self.usage_ledger.record_report(report.info, now)
        registry_changed = self.registry.observe(report.announces, now)
        session.receive_report(report)
        crashes_are_news = self._observe_crashes(report, now)
        limits_changed = self.limit_board.observe(report.limits, now)
        cold_is_news = self.cold_board.observe(report.cold, now)
        self._cold_is_stale |= cold_is_news or self.cold_board.concerns(report.announces)
        for sink in self.report_sinks:
            sink.observe(report, now)
        lease_changed = previous_lease is None or previous_lease.holds_lease != report.holds_lease
        changes = (
            registry_changed,
            crashes_are_news,
            limits_changed,
            cold_is_news,
            state_changed,
            lease_changed,
        )
        if any(changes):
            self.wake_sessions()

    def _observe_crashes(self, report: EntryReport, now: float) -> bool:
        # Answers go first: a part that was answered since is no suspect of a crash before.
        if report.sounds:
            self.crash_ledger.observe_sound(report.sounds, now)
        news = [self.crash_ledger.observe_crash(note, now) for note in report.crashes]
        return any(news)

    def _on_applied(self, command: object, answer: object) -> None:
        if isinstance(command, RecordDepartures):
            self.registry.remove_departed(command.added)
        if _ends_evacuation(command, answer) and self._leadership.is_active():
            # Its servers may have become cold shortly before, and not have announced it yet.
            self.assume_cold(command.data_centre, _longest_cold_s(self._machine.tables.deployment))
        # Changes of bookings concern one entry each, and are too frequent to update all entries.
        if command is None or isinstance(command, PUBLISHED_COMMANDS):
            self.wake_sessions()
        elif isinstance(command, commands.ReassignBooking):
            session = self._sessions_by_entry.get(command.to_owner)
            if session is not None:
                session.wake.set()


def _longest_cold_s(deployment: Deployment) -> float:
    services = deployment.services
    return max((each.cold_start_s for each in services if each.cold_per_s > 0), default=0)


def _ends_evacuation(command: object, answer: object) -> bool:
    is_end = isinstance(command, SetEvacuation) and not command.evacuated
    return is_end and isinstance(answer, EvacuationSet) and answer.is_current
