"""Event queue in virtual time, so that a seed repeats a run to the digit."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]
_Event = tuple[float, int, Callback]


class VirtualTime:
    """Runs callbacks in order of time; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.now: float = 0
        self._events: list[_Event] = []
        self._numbers = itertools.count()

    def after(self, seconds: float, callback: Callback) -> None:
        """Schedules a callback.

        :param seconds: from now.
        :param callback: called without arguments.
        """
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), callback))

    def run(self, until: float) -> None:
        """Runs all callbacks up to a time.

        :param until: seconds.
        """
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[-1]()
        self.now = until
