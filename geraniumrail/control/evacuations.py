"""Evacuations of data centres, on the leader and for the control processes that ask it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from geraniumrail.consensus.replica import Replica
from geraniumrail.control import events
from geraniumrail.control.proposer import Proposer
from geraniumrail.core.events import log
from geraniumrail.errors.link import NoControlError
from geraniumrail.links.requests import (
    ChangeEvacuation,
    EvacuationChanged,
    EvacuationsNow,
    ReadEvacuations,
)
from geraniumrail.state.machine import Machine
from geraniumrail.state.set_evacuation import SetEvacuation

LeaderCall = Callable[[object, float], Awaitable[Any]]


class Evacuations:
    """Reads and changes the evacuations in the log; used only on the leader."""

    def __init__(
        self,
        machine: Machine,
        replica: Replica,
        proposer: Proposer,
        wall: Callable[[], float],
    ) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param replica: confirms what is read.
        :param proposer: proposes commands.
        :param wall: time of day that the processes agree on.
        """
        self._machine = machine
        self._replica = replica
        self._proposer = proposer
        self._wall = wall

    async def ask(self, request: ReadEvacuations | ChangeEvacuation, limit_s: float) -> Any:
        """Answers a request of this process.

        :param request: what is asked.
        :param limit_s: limit in seconds.
        :raises TimeoutError: if the limit has passed; the outcome is unknown.
        """
        async with asyncio.timeout(limit_s):
            if isinstance(request, ReadEvacuations):
                return await self.read()
            return await self.change(request)

    async def read(self) -> EvacuationsNow:
        """Returns what is in the log.

        :raises ConsensusError: if no majority confirmed it.
        """
        await self._replica.read_barrier()
        tables = self._machine.tables
        return EvacuationsNow(
            number=tables.last_evacuation_change,
            evacuations=tuple(tables.evacuations_by_data_centre.values()),
        )

    async def change(self, request: ChangeEvacuation) -> EvacuationChanged:
        """Changes one; returns when a majority has recorded the outcome.

        :param request: the change.
        :raises ConsensusError: if it was not recorded, or the outcome is unknown.
        """
        command = SetEvacuation(
            data_centre=request.data_centre,
            evacuated=request.evacuated,
            after=request.after,
            operator=request.operator,
            at=self._wall(),
        )
        outcome = await self._proposer.propose(command)
        log(
            events.EVACUATION_SET if outcome.is_current else events.EVACUATION_OUTDATED,
            data_centre=request.data_centre,
            evacuated=request.evacuated,
            operator=request.operator,
            after=request.after,
            number=outcome.number,
        )
        return EvacuationChanged(is_current=outcome.is_current)


async def set_evacuation(
    wanted: ChangeEvacuation,
    ask: LeaderCall,
    now: Callable[[], float],
    limit_s: float,
    is_awaited: Callable[[], bool],
) -> None:
    """Starts or ends an evacuation; returns when that is in the log.

    The number of the last change is read first. A change that arrives late at the leader, or that
    is committed late, has no effect if there was another change since. Nothing is sent after the
    limit, or when nobody waits for the outcome any more: the caller has repeated it elsewhere.

    :param wanted: the change; its number is replaced.
    :param ask: asks the leader, with a limit in seconds.
    :param now: monotonic seconds.
    :param limit_s: limit in seconds.
    :param is_awaited: returns whether the caller still waits.
    :raises GeraniumrailError: if the outcome is unknown.
    """
    ends_at = now() + limit_s
    while True:
        found = await ask(ReadEvacuations(), ends_at - now())
        left_s = ends_at - now()
        if left_s <= 0 or not is_awaited():
            raise NoControlError(limit_s=limit_s, reason='the caller does not wait any more')
        names = {each.data_centre for each in found.evacuations}
        if (wanted.data_centre in names) == wanted.evacuated:
            return
        change = ChangeEvacuation(
            data_centre=wanted.data_centre,
            evacuated=wanted.evacuated,
            after=found.number,
            operator=wanted.operator,
        )
        changed = await ask(change, left_s)
        if changed.is_current:
            return
