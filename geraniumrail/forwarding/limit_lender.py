"""Where an entry takes what its own part of a limit lacks."""

from collections.abc import Callable
from typing import Protocol

from geraniumrail.errors.link import LinkError

# Returns whether a request is admitted without a leader that was last heard at a time.
WithoutLeader = Callable[[float], bool]


class LimitLender(Protocol):
    """Where an entry takes what its own part of a limit lacks."""

    async def borrow(
        self, organisation: str, cost: float, limit_s: float, without_leader: WithoutLeader
    ) -> float:
        """Returns 0 if the cost was taken, or seconds until it may be tried again.

        :param organisation: name.
        :param cost: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :param without_leader: asked while no leader answers.
        :raises LinkError: if no leader answered in time.
        """


class NoLender:
    """For entries whose parts add up to the whole limit."""

    async def borrow(
        self, organisation: str, cost: float, limit_s: float, without_leader: WithoutLeader
    ) -> float:
        """Refuses; never asked by a quota without a ledger.

        :param organisation: name.
        :param cost: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :param without_leader: asked while no leader answers.
        :raises LinkError: always.
        """
        raise LinkError(address='', reason='no leader lends')
