"""Calls that one process at a time makes for the whole system."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Protocol


class DutyAnswer(enum.StrEnum):
    """Outcome of a call."""

    accepted = 'accepted'
    conflict = 'conflict'  # a higher fencing number was seen, or no machine is available
    busy = 'busy'  # too many calls; this one was not carried out
    unknown = 'unknown'  # no answer; it may still be carried out


@dataclasses.dataclass(frozen=True)
class DutyCall:
    """Identifies the holder that makes a call."""

    holder: str
    number: int  # fencing number


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Number of requests of each organisation that began to run in one usage window."""

    window: int
    counts: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class FleetOrder:
    """Number of backend servers of one kind that a service should have in a data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int


class DutyTarget(Protocol):
    """API that receives the calls; its client implements this."""

    async def report(self, call: DutyCall, usage: UsageReport) -> DutyAnswer:
        """Reports usage.

        :param call: holder and fencing number.
        :param usage: the counts.
        """

    async def order(self, call: DutyCall, fleet: FleetOrder) -> DutyAnswer:
        """Orders backend servers.

        :param call: holder and fencing number.
        :param fleet: number and kind of the backend servers.
        """

    async def close(self) -> None:
        """Closes the connections."""
