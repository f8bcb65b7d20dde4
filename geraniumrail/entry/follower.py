"""Follows the control leader: one task with one stream."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Callable

from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.entry import events
from geraniumrail.entry.announces import Announces
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.errors.link import LinkError
from geraniumrail.links.messages import ControlUpdate, EntryReport
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.report_interval import report_interval_s

# Every report is answered at once; a stream without answers for so many intervals is silent.
SILENT_INTERVALS = 2
SILENCE_MARGIN_S = 0.2
RECONNECT_DELAY_S = 0.15
MIN_REPORT_INTERVAL_S = 0.05

ReportBuilder = Callable[[int], EntryReport]
UpdateListener = Callable[[ControlUpdate], None]
ResumeListener = Callable[[], None]


class Follower:
    """Sends reports and applies updates; opens a new stream when one breaks or goes silent."""

    def __init__(
        self,
        view: ClusterView,
        announces: Announces,
        finder: LeaderFinder,
        links: LinkPool,
        clock: Clock,
        build_report: ReportBuilder,
    ) -> None:
        """Connects the parts.

        :param view: gets the updates.
        :param announces: waiting announcements.
        :param finder: address of the leader.
        :param links: connections.
        :param clock: time.
        :param build_report: builds the report with a sequence number.
        """
        self.listeners: list[UpdateListener] = []
        self.resumed: list[ResumeListener] = [announces.requeue_all]  # a new stream begins
        self._view = view
        self._finder = finder
        self._links = links
        self._clock = clock
        self._build_report = build_report
        self._sequences = itertools.count(1)
        self._sent_at_by_sequence: dict[int, float] = {}
        self._poked = asyncio.Event()

    def poke(self) -> None:
        """Sends the next report at once."""
        self._poked.set()

    def _interval_s(self) -> float:
        return report_interval_s(self._view.entry_count.newest)

    async def run(self) -> None:
        """Follows until cancelled."""
        hinted = False
        while True:
            address = self._finder.address
            was_hinted, hinted = hinted, False
            try:
                await self._follow(address)
            except NotLeaderError as error:
                self._finder.hint(error.fields.get('leader'))
                hinted = not was_hinted and error.fields.get('leader') == self._finder.address
            except (LinkError, TimeoutError) as error:
                self._finder.skip(address)
                log(events.CONTROL_LOST, address=address, reason=str(error) or 'silent')
            except GeraniumrailError as error:
                self._finder.skip(address)
                log(events.CONTROL_LOST, address=address, reason=str(error))
            self._view.end_lease()
            if hinted:
                continue  # two members that name each other are asked after a pause
            await self._clock.sleep(RECONNECT_DELAY_S * (0.5 + random.random()))

    async def _follow(self, address: str) -> None:
        for listener in self.resumed:
            listener()
        self._sent_at_by_sequence.clear()
        updates = self._links.client(address).follow(self._reports())
        followed = False
        try:
            while True:
                silence_s = SILENT_INTERVALS * self._interval_s() + SILENCE_MARGIN_S
                async with asyncio.timeout(silence_s):
                    update = await anext(updates, None)
                if update is None:
                    raise LinkError(address=address, reason='the stream ended')
                if not followed:
                    log(events.CONTROL_FOLLOWED, address=address, term=update.term)
                    followed = True
                self._take(update)
        finally:
            await updates.aclose()

    async def _reports(self) -> AsyncIterator[EntryReport]:
        while True:
            self._poked.clear()
            sequence = next(self._sequences)
            self._sent_at_by_sequence[sequence] = self._clock.now()
            yield self._build_report(sequence)
            try:
                async with asyncio.timeout(self._interval_s()):
                    await self._poked.wait()
            except TimeoutError:
                continue
            await self._clock.sleep(MIN_REPORT_INTERVAL_S)

    def _take(self, update: ControlUpdate) -> None:
        sent_at = self._sent_at_by_sequence.get(update.answers)
        if sent_at is None:
            return
        self._sent_at_by_sequence = {
            sequence: at
            for sequence, at in self._sent_at_by_sequence.items()
            if sequence >= update.answers
        }
        before = self._served()
        if update.members:
            self._finder.learn(update.members)
        if self._view.take(update, sent_at):
            for listener in self.listeners:
                listener(update)
        if self._served() != before:
            self.poke()  # reports at once what it serves, and that it may serve

    def _served(self) -> tuple[bool, int, int]:
        view = self._view
        return view.holds_lease(), view.tree.revision, view.table.version
