"""Serves the streams of the entries: one task for each entry."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.control.follower_session import FollowerSession
from geraniumrail.control.leadership import Leadership
from geraniumrail.control.registry import Registry
from geraniumrail.control.report_sink import ReportSink
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.core.clock import Clock
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.messages import ControlUpdate, EntryReport
from geraniumrail.state import commands
from geraniumrail.state.machine import Machine

# Load reports travel with the answer to a report; other changes are pushed at once, but not more
# often than this, so that a wave of announcements becomes a few updates.
MIN_UPDATE_INTERVAL_S = 0.05
VERSION_BITS = 32  # of registry versions within one term

PUBLISHED = (
    commands.ChangeSettings,
    commands.StartMove,
    commands.StepMove,
    commands.EndMove,
    commands.SetDrain,
)


class Publisher:
    """Pushes settings, moves, registry and entries to the entries and takes their reports."""

    def __init__(self, machine: Machine, leadership: Leadership, clock: Clock) -> None:
        """Prepares the publisher.

        :param machine: replicated state.
        :param leadership: tells whether this process may act.
        :param clock: time.
        """
        self.registry = Registry()
        self.leases = EntryLeases()
        self.usage = UsageShares()
        self.sinks: list[ReportSink] = []
        self._machine = machine
        self._leadership = leadership
        self._clock = clock
        self._sessions_by_entry: dict[str, FollowerSession] = {}
        machine.listen(self._applied)

    def became_leader(self, term: int) -> None:
        """Starts again: soft state of an earlier leadership may be stale.

        :param term: the new term.
        """
        self.registry = Registry(term << VERSION_BITS)
        self.usage = UsageShares()
        self.leases.restart(self._clock.now())

    def tick(self) -> None:
        """Expires leases; called a few times a second on the leader."""
        now = self._clock.now()
        for entry in self.leases.expire(now):
            self.usage.forget(entry)
            self.wake_all()
        if self.registry.expire(now):
            self.wake_all()
        self.registry.refresh_subsets()

    def wake_all(self) -> None:
        """Sends an update to every entry."""
        for session in self._sessions_by_entry.values():
            session.wake.set()

    async def follow(self, reports: AsyncIterator[EntryReport]) -> AsyncIterator[ControlUpdate]:
        """Serves one stream until it breaks or leadership ends.

        :param reports: the entry's reports.
        :raises NotLeaderError: if this process may not act as leader.
        """
        term = self._leadership.require()
        first = await anext(reports)
        session = FollowerSession(first, term)
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

    def _forget(self, session: FollowerSession) -> None:
        if self._sessions_by_entry.get(session.info.entry) is session:
            self._sessions_by_entry.pop(session.info.entry)

    async def _next_update(self, session: FollowerSession) -> ControlUpdate | None:
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
            self.usage,
        )

    def _require_term(self, session: FollowerSession) -> None:
        # A later leadership has another registry, of which the entry would get differences only.
        if self._leadership.require() != session.term:
            raise NotLeaderError(leader=None)

    async def _read(self, reports: AsyncIterator[EntryReport], session: FollowerSession) -> None:
        async for report in reports:
            self._take(report, session)

    def _take(self, report: EntryReport, session: FollowerSession) -> None:
        now = self._clock.now()
        known = report.info.entry in self.leases.leases_by_entry
        left = session.info.state != report.info.state
        self.leases.renew(report.info, now)
        self.usage.observe(report.info.entry, report.usage)
        changed = self.registry.observe(report.announces, now)
        session.reported(report)
        for sink in self.sinks:
            sink.observe(report, now)
        if changed or left or not known:
            self.wake_all()

    def _applied(self, command: object, answer: object) -> None:
        # Bookings concern single entries and are far more frequent than what all must hear of.
        if command is None or isinstance(command, PUBLISHED):
            self.wake_all()
        elif isinstance(command, commands.ReassignBooking):
            session = self._sessions_by_entry.get(command.to_owner)
            if session is not None:
                session.wake.set()
