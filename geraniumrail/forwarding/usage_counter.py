"""Counts the requests that began to run, for the usage reports."""

import collections
import math

from geraniumrail.links.messages import Started

# Windows whose counts are repeated in each report, in case a report or the leader was lost.
REPORTED_WINDOWS = 3
# Between such repeats; shorter than the time after which the leader closes a window.
REPEAT_S = 0.9


class UsageCounter:
    """Counts by usage window and organisation since the start of the process."""

    def __init__(self) -> None:
        """Starts empty."""
        self._counts: dict[int, collections.Counter[str]] = {}
        self._repeated_at = -math.inf

    def started(self, organisation: str, wall: float, window_s: float) -> None:
        """Counts a request.

        :param organisation: whose request it is; empty ones are not counted.
        :param wall: agreed time of day at which it began to run, in seconds since 1970.
        :param window_s: length of a window in seconds; 0: nothing is counted.
        """
        if organisation and window_s > 0:
            window = int(wall // window_s)
            self._counts.setdefault(window, collections.Counter())[organisation] += 1

    def report(self, now: float) -> tuple[Started, ...]:
        """Returns the counts of the newest window, and now and then of the last ones.

        :param now: monotonic seconds.
        """
        for old in sorted(self._counts)[:-REPORTED_WINDOWS]:
            self._counts.pop(old)
        newest = max(self._counts, default=0)
        repeats = now - self._repeated_at >= REPEAT_S
        if repeats:
            self._repeated_at = now
        return tuple(
            Started(window=window, counts=dict(counts))
            for window, counts in self._counts.items()
            if repeats or window == newest
        )
