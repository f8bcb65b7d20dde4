"""Where an entry takes what its own part of a limit lacks."""

from typing import Protocol

from geraniumrail.errors.link import LinkError


class Lends(Protocol):
    """Where an entry takes what its own part of a limit lacks."""

    async def borrow(self, organisation: str, cost: float, limit_s: float) -> float:
        """Returns 0 if the cost was taken, or seconds until it may be tried again.

        :param organisation: name.
        :param cost: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :raises LinkError: if no leader answered in time.
        """


class NoLender:
    """For entries whose parts add up to the whole limit."""

    async def borrow(self, organisation: str, cost: float, limit_s: float) -> float:
        """Refuses; never asked by a quota without a ledger.

        :param organisation: name.
        :param cost: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :raises LinkError: always.
        """
        raise LinkError(address='', reason='no leader lends')
