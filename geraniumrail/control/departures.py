"""Records in the replicated log which backend servers have left."""

import dataclasses
import itertools
from collections.abc import Callable, Iterable

from geraniumrail.control import events
from geraniumrail.control.proposer import Proposer
from geraniumrail.control.publisher import Publisher
from geraniumrail.core.backend import Backend
from geraniumrail.core.departure import LAST_SEQUENCE, Departure
from geraniumrail.core.events import log
from geraniumrail.state.apply_departures import is_expired
from geraniumrail.state.machine import Machine
from geraniumrail.state.record_departures import RecordDepartures

MS_PER_S = 1000
# In one command; a record takes about 100 bytes, and a command at most 1 MiB.
MAX_ADDED = 1000


class Departures:
    """A job of the leader; what it has recorded outlives the leader and late announcements."""

    name = 'departures'

    def __init__(
        self,
        machine: Machine,
        publisher: Publisher,
        proposer: Proposer,
        wall: Callable[[], float],
    ) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param publisher: has the announced backend servers.
        :param proposer: proposes commands.
        :param wall: time of day that the processes agree on.
        """
        self._machine = machine
        self._publisher = publisher
        self._proposer = proposer
        self._wall = wall

    def became_leader(self) -> None:
        """Keeps nothing outside the log."""

    async def withdraw(self, instance: str, incarnation: int) -> None:
        """Records that a backend server has left; returns when a majority has recorded it.

        Without an incarnation it is the announced start that has left. If there is none, because
        its lease has expired or the leader is new, it is any start before now.

        :param instance: the backend server.
        :param incarnation: its incarnation, or 0 if it did not say.
        :raises GeraniumrailError: if it was not recorded, or the outcome is unknown.
        """
        registered = self._publisher.registry.registered_by_instance.get(instance)
        current = None if registered is None else registered.backend.incarnation
        left = incarnation or (int(self._wall() * MS_PER_S) if current is None else current)
        log(
            events.BACKEND_WITHDRAWN,
            instance=instance,
            incarnation=left,
            named=bool(incarnation),
            current_incarnation=current,
        )
        departure = Departure(instance=instance, incarnation=left, sequence=LAST_SEQUENCE)
        await self._record((departure,))

    async def record_leaving(self, backend: Backend) -> None:
        """Records that a backend server leaves, unless that is recorded already.

        :param backend: an announcement that has been observed.
        :raises GeraniumrailError: if it was not recorded, or the outcome is unknown.
        """
        unrecorded = self._unrecorded((backend.instance,))
        if unrecorded:
            await self._record(unrecorded)

    async def run_once(self) -> None:
        """Records the departures that entries relayed, and removes outdated ones."""
        wall = self._wall()
        unrecorded = self._unrecorded(self._publisher.registry.registered_by_instance)
        oldest = next(iter(self._machine.tables.departures_by_instance.values()), None)
        if unrecorded or (oldest is not None and is_expired(oldest, wall)):
            await self._record(unrecorded)

    def _unrecorded(self, instances: Iterable[str]) -> tuple[Departure, ...]:
        known = self._machine.tables.departures_by_instance
        registered_by_instance = self._publisher.registry.registered_by_instance
        registered = (registered_by_instance.get(instance) for instance in instances)
        leaving = (
            # The announcement that says so is not outdated itself.
            Departure(
                instance=each.backend.instance,
                incarnation=each.backend.incarnation,
                sequence=each.leaving_from - 1,
            )
            for each in registered
            if each is not None and each.leaving_from is not None
        )
        unrecorded = (
            each
            for each in leaving
            if each.instance not in known or known[each.instance].freshness < each.freshness
        )
        return tuple(itertools.islice(unrecorded, MAX_ADDED))

    async def _record(self, departures: tuple[Departure, ...]) -> None:
        wall = self._wall()
        added = tuple(dataclasses.replace(each, at=wall) for each in departures)
        await self._proposer.propose(RecordDepartures(added=added, at=wall))
