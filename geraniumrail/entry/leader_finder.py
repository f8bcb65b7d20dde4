"""Finds the address of the control leader."""

import itertools
from collections.abc import Sequence


class LeaderFinder:
    """Starts from the addresses of the settings file and follows hints."""

    def __init__(self, seeds: Sequence[str]) -> None:
        """Starts at the first seed.

        :param seeds: ip:port of the control members' links.
        """
        self._cycle = itertools.cycle(seeds)
        self.address = next(self._cycle)

    def hint(self, leader: object) -> None:
        """Uses the leader that a member named, or the next seed if it knew none.

        :param leader: ip:port, or None.
        """
        if isinstance(leader, str) and leader and leader != self.address:
            self.address = leader
        else:
            self.skip(self.address)

    def skip(self, failed: str) -> None:
        """Goes on to the next seed, unless another task has moved on before.

        :param failed: address that did not answer.
        """
        if self.address == failed:
            self.address = next(self._cycle)
