"""Calls that one process at a time makes for the whole system."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol


class DutyAnswer(enum.StrEnum):
    """What became of a call."""

    accepted = 'accepted'
    conflict = 'conflict'  # a higher fencing number was seen, or there is nothing to be had
    busy = 'busy'  # too many calls; it was not carried out
    unknown = 'unknown'  # no answer; it may still be carried out


@dataclasses.dataclass(frozen=True)
class DutyCall:
    """Who calls."""

    holder: str
    number: int  # fencing number


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Requests of each organisation that began to run in one usage window."""

    window: int
    counts: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class FleetOrder:
    """How many backend servers of one kind a service should have in a data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int


class DutyTarget(Protocol):
    """Implemented by the client of the API that takes the calls."""

    async def report(self, call: DutyCall, usage: UsageReport) -> DutyAnswer:
        """Reports usage.

        :param call: holder and fencing number.
        :param usage: the counts.
        """

    async def order(self, call: DutyCall, fleet: FleetOrder) -> DutyAnswer:
        """Orders backend servers.

        :param call: holder and fencing number.
        :param fleet: what to order.
        """

    async def close(self) -> None:
        """Closes the connections."""
