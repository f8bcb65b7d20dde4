"""Where an entry takes what its own part of a limit lacks."""

from collections.abc import Callable
from typing import Protocol

from geraniumrail.errors.link import LinkError
from geraniumrail.links.requests import LimitTaken, TakeLimit

# Returns whether a request is admitted without a leader that was last heard at a time.
WithoutLeader = Callable[[float], bool]


class LimitLender(Protocol):
    """Where an entry takes what its own part of a limit lacks."""

    async def borrow(
        self, question: TakeLimit, limit_s: float, without_leader: WithoutLeader
    ) -> LimitTaken:
        """Returns the answer of the leader, or what was decided without it.

        :param question: what the entry lacks. If it knows that the limit is scarce, the request
            does not wait for a leader that does not answer or whose bucket is still filling.
        :param limit_s: how long to wait for a leader, seconds.
        :param without_leader: asked while no leader answers.
        :raises LinkError: if no leader answered in time.
        """


class NoLender:
    """For entries whose parts add up to the whole limit."""

    async def borrow(
        self, question: TakeLimit, limit_s: float, without_leader: WithoutLeader
    ) -> LimitTaken:
        """Refuses; never asked by a quota without a ledger.

        :param question: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :param without_leader: asked while no leader answers.
        :raises LinkError: always.
        """
        raise LinkError(address='', reason='no leader lends')
