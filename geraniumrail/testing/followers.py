"""Entries that follow one control leader through its real streams, in virtual time."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable

from geraniumrail.control.leadership import Leadership
from geraniumrail.control.publisher import Publisher
from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.links.messages import ControlUpdate, EntryInfo, EntryReport
from geraniumrail.links.report_interval import report_interval_s
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.routing.engine_limits import EngineLimits
from geraniumrail.state.machine import Machine
from geraniumrail.testing.virtual_loop import LoopClock

LINK_S = 0.001  # one way
JOB_TICK_S = 0.2


class _AlwaysLeads(Leadership):
    def __init__(self, term: int) -> None:
        self._term = term

    def require_term(self) -> int:
        return self._term

    def is_leader_known(self) -> bool:
        return True

    def is_active(self) -> bool:
        return True


class Leader:
    """The leader's publisher and jobs; `restart` begins a new leadership with the same log."""

    def __init__(self, make_jobs: Callable[['Leader'], list]) -> None:
        """Starts the first leadership.

        :param make_jobs: returns the jobs of a leadership.
        """
        self.machine = Machine()
        self.clock = LoopClock()
        self.term = 0
        self._make_jobs = make_jobs
        self.restart()

    def restart(self) -> None:
        """Drops everything that is not in the log."""
        self.term += 1
        self.publisher = Publisher(self.machine, _AlwaysLeads(self.term), self.clock)
        self.publisher.became_leader(self.term)
        self.jobs = self._make_jobs(self)

    async def propose(self, command: object) -> object:
        """Applies a command after a round trip.

        :param command: a record of the state machine.
        """
        await asyncio.sleep(2 * LINK_S)
        return codec.decode(self.machine.apply(self.machine.applied + 1, codec.encode(command)))

    async def run(self) -> None:
        """Runs the jobs until cancelled."""
        while True:
            await asyncio.sleep(JOB_TICK_S)
            self.publisher.tick()
            for job in self.jobs:
                await job.run_once()


class Follower:
    """One entry: what it knows, and its stream to the leader."""

    def __init__(self, name: str, leader: Leader, entries: int, probe: Callable) -> None:
        """Connects an entry that knows nothing.

        :param name: id of the entry.
        :param leader: the leader.
        :param entries: number of entries, for the interval of the reports.
        :param probe: tells whether a backend server has ended.
        """
        self.name = name
        self.watch = PartWatch(LoopClock(), probe)
        self.watch.on_news = self.poke
        self.limits = EngineLimits()
        self.limits.on_news = self.poke
        self.limits.entries = entries
        self.lease_until: float = 0
        self._leader = leader
        self._interval_s = report_interval_s(entries)
        self._poked = asyncio.Event()

    def poke(self) -> None:
        """Sends the next report at once."""
        self._poked.set()

    async def follow(self) -> None:
        """Follows until cancelled; opens a new stream after a change of leader."""
        while self._leader.term:
            term = self._leader.term
            self.watch.requeue_all()
            self.limits.requeue_all(LoopClock().now())
            stream = self._leader.publisher.stream_updates(self._reports())
            async with contextlib.aclosing(stream) as updates:
                async for update in updates:
                    await asyncio.sleep(LINK_S)
                    self.take(update)
                    if self._leader.term != term:
                        break

    def take(self, update: ControlUpdate) -> None:
        """Applies an update.

        :param update: of the leader.
        """
        self.lease_until = LoopClock().now() + update.lease_s
        self.limits.take_allotted(update.engine_rates, LoopClock().now())
        self.watch.take(update.quarantines, update.watched, update.trials)

    def build(self, sequence: int) -> EntryReport:
        """Returns a report.

        :param sequence: its number.
        """
        crashes, sounds = self.watch.report()
        info = EntryInfo(
            entry=self.name,
            instance=self.name,
            address=self.name,
            peer_address=self.name,
            data_centre='',
            region='',
        )
        return EntryReport(
            sequence=sequence,
            info=info,
            holds_lease=True,
            crashes=crashes,
            sounds=sounds,
            held_back=self.watch.held_back.report(LoopClock().now()),
            limits=self.limits.report(LoopClock().now()),
        )

    async def _reports(self) -> AsyncIterator[EntryReport]:
        for sequence in itertools.count(1):
            self._poked.clear()
            await asyncio.sleep(LINK_S)
            yield self.build(sequence)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s):
                    await self._poked.wait()
            await asyncio.sleep(0.05)


def engine(instance: str, incarnation: int, **changes: object) -> Backend:
    """Returns the announcement of an engine.

    :param instance: its id.
    :param incarnation: number of its start.
    :param changes: other fields.
    """
    fields = {
        'instance': instance,
        'service': 'llm',
        'address': instance,
        'data_centre': '',
        'region': '',
        'version': 'v1',
        'incarnation': incarnation,
    }
    return Backend(**{**fields, **changes})
