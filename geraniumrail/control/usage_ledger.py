"""Counts the requests that began to run, by usage window and organisation."""

import collections
from collections.abc import Iterable

from geraniumrail.links.messages import EntryInfo, Started

# Number of windows whose counts are kept; only the last few are reported.
MAX_WINDOWS = 24

_Counts = dict[tuple[str, str], int]  # by entry and organisation


class UsageLedger:
    """Sums the counts of all entries; repeated reports are counted once."""

    def __init__(self) -> None:
        """Starts empty."""
        self._counts_by_window: dict[int, _Counts] = {}
        self._last_report_by_entry: dict[str, tuple[str, float]] = {}  # instance, time
        self._seen_instances: set[str] = set()  # including those that have left

    def observe(self, entry: str, started: Iterable[Started]) -> None:
        """Records the counts of one entry.

        :param entry: id of the entry with its incarnation.
        :param started: its counts by window, cumulative since it started.
        """
        for each in started:
            window_counts = self._counts_by_window.setdefault(each.window, {})
            for organisation, count in each.counts.items():
                key = (entry, organisation)
                window_counts[key] = max(window_counts.get(key, 0), count)
        surplus = max(0, len(self._counts_by_window) - MAX_WINDOWS)
        for window in sorted(self._counts_by_window)[:surplus]:
            self._counts_by_window.pop(window)

    def record_report(self, info: EntryInfo, now: float) -> None:
        """Records that an entry reported; earlier incarnations of its instance no longer do.

        :param info: the entry.
        :param now: monotonic seconds.
        """
        self._seen_instances.add(info.instance)
        reports = self._last_report_by_entry.items()
        self._last_report_by_entry = {
            entry: report for entry, report in reports if report[0] != info.instance
        }
        if info.state == 'serving':
            self._last_report_by_entry[info.entry] = (info.instance, now)

    def reporting_instances(self) -> tuple[str, ...]:
        """Returns the instances with a serving entry that has reported."""
        return tuple(sorted({instance for instance, _ in self._last_report_by_entry.values()}))

    def is_complete(self, since: float, instances: Iterable[str] = ()) -> bool:
        """Returns whether all entries have reported since a point in time.

        :param since: monotonic seconds.
        :param instances: instances whose entries reported to an earlier leader.
        """
        all_reported = all(at >= since for _, at in self._last_report_by_entry.values())
        return all_reported and self._seen_instances.issuperset(instances)

    def counts(self, window: int, organisations: Iterable[str]) -> dict[str, int]:
        """Returns the counts of one window, zeros included.

        :param window: number of the window.
        :param organisations: names that must be included.
        """
        totals = collections.Counter(dict.fromkeys(organisations, 0))
        for (_, organisation), count in self._counts_by_window.get(window, {}).items():
            totals[organisation] += count
        return dict(totals)
