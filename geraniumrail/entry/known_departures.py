"""The departures of backend servers that control has told this entry."""

import itertools
from collections.abc import Iterable

from geraniumrail.core.backend import Backend
from geraniumrail.core.departure import Departure

# Longer than the delay of any announcement in transit to this entry.
RETENTION_S = 60.0


class KnownDepartures:
    """Keeps late announcements from bringing back a backend server that has left."""

    def __init__(self) -> None:
        """Starts empty."""
        # With the time until which each is kept, and in the order of that time.
        self._departures_by_instance: dict[str, tuple[Departure, float]] = {}

    def add(self, departures: Iterable[Departure], now: float) -> None:
        """Adds departures and removes those that have ended.

        :param departures: that control has recorded.
        :param now: monotonic seconds.
        """
        for departure in departures:
            self.remove(departure.instance)
            self._departures_by_instance[departure.instance] = (departure, now + RETENTION_S)
        ended = itertools.takewhile(
            lambda instance: self._departures_by_instance[instance][1] < now,
            self._departures_by_instance,
        )
        for instance in tuple(ended):
            self.remove(instance)

    def remove(self, instance: str) -> None:
        """Ends a departure, if there is one.

        :param instance: a backend server that control says to serve.
        """
        self._departures_by_instance.pop(instance, None)

    def has_left(self, backend: Backend) -> bool:
        """Returns whether an announcement is from before a departure.

        :param backend: the announcement.
        """
        departure, _ = self._departures_by_instance.get(backend.instance, (None, 0))
        return departure is not None and departure.covers(backend)
