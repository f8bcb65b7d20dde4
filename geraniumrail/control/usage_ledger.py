"""Counts of requests that began to run, by usage window and organisation."""

import collections
from collections.abc import Iterable

from geraniumrail.links.messages import Started

# Windows for which counts are kept; reports name the last few.
KEPT_WINDOWS = 24

_Counts = dict[tuple[str, str], int]  # by entry and organisation


class UsageLedger:
    """Sums the counts of all entries; a repeated report changes nothing."""

    def __init__(self) -> None:
        """Starts empty."""
        self._counts: dict[int, _Counts] = {}

    def observe(self, entry: str, started: Iterable[Started]) -> None:
        """Takes the counts of one entry.

        :param entry: id of the entry with its incarnation.
        :param started: its counts since it started.
        """
        for each in started:
            by_source = self._counts.setdefault(each.window, {})
            for organisation, count in each.counts.items():
                key = (entry, organisation)
                by_source[key] = max(by_source.get(key, 0), count)
        surplus = max(0, len(self._counts) - KEPT_WINDOWS)
        for window in sorted(self._counts)[:surplus]:
            self._counts.pop(window)

    def counts(self, window: int, organisations: Iterable[str]) -> dict[str, int]:
        """Returns the counts of one window, zeros included.

        :param window: number of the window.
        :param organisations: names that must be listed.
        """
        totals = collections.Counter(dict.fromkeys(organisations, 0))
        for (_, organisation), count in self._counts.get(window, {}).items():
            totals[organisation] += count
        return dict(totals)
