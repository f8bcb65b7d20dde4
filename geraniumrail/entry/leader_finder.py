"""Finds the address of the control leader."""

import itertools
from collections.abc import Sequence


class LeaderFinder:
    """Starts from the addresses of the settings file and follows hints."""

    def __init__(self, seeds: Sequence[str]) -> None:
        """Starts at the first seed.

        :param seeds: ip:port of the control members' links.
        """
        self._seeds = tuple(seeds)
        self._known = self._seeds
        self._cycle = itertools.cycle(self._known)
        self.address = next(self._cycle)

    def learn(self, members: Sequence[str]) -> None:
        """Adds the present members: the machines of the settings file may be gone.

        :param members: ip:port of the members' links.
        """
        known = tuple(dict.fromkeys((*self._seeds, *members)))
        if known != self._known:
            self._known = known
            self._cycle = itertools.cycle(known)

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
