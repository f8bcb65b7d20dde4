"""Counts of requests that began to run, by usage window and organisation."""

import collections
from collections.abc import Iterable

from geraniumrail.links.messages import EntryInfo, Started

# Windows for which counts are kept; reports name the last few.
KEPT_WINDOWS = 24

_Counts = dict[tuple[str, str], int]  # by entry and organisation


class UsageLedger:
    """Sums the counts of all entries; a repeated report changes nothing."""

    def __init__(self) -> None:
        """Starts empty."""
        self._counts: dict[int, _Counts] = {}
        self._heard_by_entry: dict[str, tuple[str, float]] = {}  # instance, and when
        self._seen_instances: set[str] = set()  # also those that have left since

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

    def record_report(self, info: EntryInfo, now: float) -> None:
        """Notes that an entry has reported; an earlier start of its instance never will again.

        :param info: the entry.
        :param now: monotonic seconds.
        """
        self._seen_instances.add(info.instance)
        others = self._heard_by_entry.items()
        self._heard_by_entry = {entry: kept for entry, kept in others if kept[0] != info.instance}
        if info.state == 'serving':
            self._heard_by_entry[info.entry] = (info.instance, now)

    def reporting_instances(self) -> tuple[str, ...]:
        """Returns the instances whose entries report."""
        return tuple(sorted({instance for instance, _ in self._heard_by_entry.values()}))

    def is_complete(self, since: float, instances: Iterable[str] = ()) -> bool:
        """Tells whether all entries have reported since a moment.

        :param since: monotonic seconds.
        :param instances: whose entries reported to an earlier leader.
        """
        heard = all(at >= since for _, at in self._heard_by_entry.values())
        return heard and self._seen_instances.issuperset(instances)

    def counts(self, window: int, organisations: Iterable[str]) -> dict[str, int]:
        """Returns the counts of one window, zeros included.

        :param window: number of the window.
        :param organisations: names that must be listed.
        """
        totals = collections.Counter(dict.fromkeys(organisations, 0))
        for (_, organisation), count in self._counts.get(window, {}).items():
            totals[organisation] += count
        return dict(totals)
