"""Serves the streams of the entries: one task for each entry."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.control.entry_session import EntrySession
from geraniumrail.control.group_info import GroupInfo
from geraniumrail.control.leadership import Leadership
from geraniumrail.control.median_clock import MedianClock
from geraniumrail.control.report_sink import ReportSink
from geraniumrail.control.usage_ledger import UsageLedger
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.messages import ControlUpdate, EntryReport
from geraniumrail.state import commands
from geraniumrail.state.machine import Machine

# Load reports travel with the answer to a report; other changes are pushed at once, but not more
# often than this, so that a wave of announcements becomes a few updates.
MIN_UPDATE_INTERVAL_S = 0.05
VERSION_BITS = 32  # of registry versions within one term
# An entry that comes during an election is answered when it is over: looking again through all
# members takes it longer. Shorter than the silence after which an entry gives a stream up.
ELECTION_WAIT_S = 0.8
# A new leader sends notes to entries that know no backend server for this time, after which each
# has announced itself (every 1.2 s); then they serve no purpose.
NOTES_S = 1.6

PUBLISHED = (
    commands.ChangeSettings,
    commands.StartMove,
    commands.StepMove,
    commands.EndMove,
    commands.SetDrain,
    commands.ReplaceDeployment,
)


class Publisher:
    """Pushes settings, moves, registry and entries to the entries and takes their reports."""

    def __init__(
        self,
        machine: Machine,
        leadership: Leadership,
        clock: Clock,
        members: Callable[[], tuple[str, ...]] = tuple,
        window_s: float = 0,
    ) -> None:
        """Prepares the publisher.

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
        self.registry = BackendRegistry()
        self.leases = EntryLeases()
        self.usage_shares = UsageShares()
        self.report_sinks: list[ReportSink] = []
        self._machine = machine
        self._leadership = leadership
        self._clock = clock
        self._sessions_by_entry: dict[str, EntrySession] = {}
        self._led_since = clock.now()
        machine.listen(self._applied)

    def became_leader(self, term: int) -> None:
        """Starts again: soft state of an earlier leadership may be stale.

        :param term: the new term.
        """
        self._led_since = self._clock.now()
        self.registry = BackendRegistry(term << VERSION_BITS)
        self.usage_shares = UsageShares()
        self.usage_ledger = UsageLedger()
        self.median_clock = MedianClock()
        self.leases.reset(self._clock.now())

    def receive_announcement(self, backend: Backend) -> None:
        """Takes an announcement that was made to a control process.

        :param backend: the announcement.
        """
        if self.registry.observe((backend,), self._clock.now()):
            self.wake_sessions()

    def receive_withdrawal(self, instance: str, incarnation: int) -> None:
        """Notes that a backend server takes no more work.

        :param instance: the backend server.
        :param incarnation: its start.
        """
        if self.registry.withdraw(instance, incarnation, self._clock.now()):
            self.wake_sessions()

    def tick(self) -> None:
        """Expires leases; called a few times a second on the leader."""
        now = self._clock.now()
        for entry in self.leases.expire(now):
            self.usage_shares.forget(entry)
            self.wake_sessions()
        if self.registry.expire(now):
            self.wake_sessions()
        self.registry.refresh_subsets()

    def wake_sessions(self) -> None:
        """Sends an update to every entry."""
        for session in self._sessions_by_entry.values():
            session.wake.set()

    async def stream_updates(
        self, reports: AsyncIterator[EntryReport]
    ) -> AsyncIterator[ControlUpdate]:
        """Serves one stream until it breaks or leadership ends.

        :param reports: the entry's reports.
        :raises NotLeaderError: if this process may not act as leader.
        """
        await self._leadership.await_election(self._clock, ELECTION_WAIT_S)
        term = self._leadership.require_term()
        first = await anext(reports)
        session = EntrySession(first, term)
        self._take(first, session)
        session.wake.set()
        self._sessions_by_entry[first.info.entry] = session
        reader = asyncio.create_task(self._read(reports, session))
        try:
            while not reader.done():
                update = await self._next_update(session)
                if update is not None:
                    yield update
        finally:
            reader.cancel()
            self._forget(session)

    def _forget(self, session: EntrySession) -> None:
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
        # The process may have stood still while it waited; an answer renews the entry's lease.
        self._require_term(session)
        session.wake.clear()
        return session.build_update(
            self._machine.tables,
            self.registry,
            self.leases,
            self.usage_shares,
            self._facts(session.info.entry),
            self._noted() if session.lacks_backends else (),
        )

    def _noted(self) -> tuple[Backend, ...]:
        left_s = self._led_since + NOTES_S - self._clock.now()
        if left_s <= 0:
            return ()
        known = self.registry.registered_by_instance
        return tuple(
            dataclasses.replace(note, lease_s=left_s)
            for instance, note in self._machine.tables.noted_by_instance.items()
            if instance not in known and not self.registry.has_left(instance)
        )

    def _facts(self, entry: str) -> GroupInfo:
        now = self._clock.now()
        return GroupInfo(
            members=self._members(),
            wall_error_s=self.median_clock.error_s(entry, self._clock.wall(), now),
            window_s=self._window_s,
        )

    def _require_term(self, session: EntrySession) -> None:
        # A later leadership has another registry, of which the entry would get differences only.
        if self._leadership.require_term() != session.term:
            raise NotLeaderError(leader=None)

    async def _read(self, reports: AsyncIterator[EntryReport], session: EntrySession) -> None:
        async for report in reports:
            self._take(report, session)

    def _take(self, report: EntryReport, session: EntrySession) -> None:
        now = self._clock.now()
        known = self.leases.leases_by_entry.get(report.info.entry)
        left = session.info.state != report.info.state
        self.leases.renew(report.info, now, report.holds_lease)
        self.usage_shares.observe(report.info.entry, report.usage)
        self.median_clock.observe(report.info.entry, report.wall, now)
        self.usage_ledger.observe(report.info.entry, report.started)
        self.usage_ledger.record_report(report.info, now)
        changed = self.registry.observe(report.announces, now)
        session.receive_report(report)
        for sink in self.report_sinks:
            sink.observe(report, now)
        if changed or left or known is None or known.holds_lease != report.holds_lease:
            self.wake_sessions()

    def _applied(self, command: object, answer: object) -> None:
        # Bookings concern single entries and are far more frequent than what all must hear of.
        if command is None or isinstance(command, PUBLISHED):
            self.wake_sessions()
        elif isinstance(command, commands.ReassignBooking):
            session = self._sessions_by_entry.get(command.to_owner)
            if session is not None:
                session.wake.set()
