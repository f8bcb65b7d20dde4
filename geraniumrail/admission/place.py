"""Where an admitted request may be sent."""

from typing import Protocol

from geraniumrail.admission.ask import Ask


class PlaceOwner(Protocol):
    """Counts the places."""

    def taken(self, ask: Ask, instance: str) -> None:
        """Counts a request that is sent.

        :param ask: the request.
        :param instance: the backend server.
        """

    def unused(self, instance: str) -> None:
        """Takes a place back.

        :param instance: the backend server.
        """


class Place:
    """Holds one place once it is taken."""

    def __init__(self, owner: PlaceOwner, ask: Ask, instances: frozenset[str]) -> None:
        """Starts without a place.

        :param owner: counts the places.
        :param ask: the request.
        :param instances: the backend servers of which one may be chosen.
        """
        self.instances = instances
        self._owner = owner
        self._ask = ask
        self._taken = ''

    def take(self, instance: str) -> None:
        """Takes the place at one of the backend servers.

        :param instance: the chosen one.
        """
        if not self._taken:
            self._taken = instance
            self.instances = frozenset((instance,))
            self._owner.taken(self._ask, instance)

    def give_back(self) -> None:
        """Returns a place that was taken, if the request is not sent."""
        if self._taken:
            self._owner.unused(self._taken)
            self._taken = ''
