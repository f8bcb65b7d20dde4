"""Load reports that become visible with a lag."""

import collections
import dataclasses
import time

from geraniumrail.core.load_report import LoadReport

_KEEP = 256


class LoadHistory:
    """Keeps measurements and reports the newest that is older than the lag."""

    def __init__(self, lag_s: float) -> None:
        """Starts with an idle report.

        :param lag_s: time between measurement and report, in seconds.
        """
        self._lag_s = lag_s
        self._measured: collections.deque[tuple[float, LoadReport]] = collections.deque(
            maxlen=_KEEP
        )

    def add(self, report: LoadReport) -> None:
        """Adds a measurement taken now."""
        self._measured.append((time.monotonic(), report))

    def visible(self, idle: LoadReport) -> LoadReport:
        """Returns the newest report older than the lag, with its age.

        :param idle: reported before the first measurement is old enough.
        """
        now = time.monotonic()
        for measured_at, report in reversed(self._measured):
            if now - measured_at >= self._lag_s:
                return dataclasses.replace(report, age_s=round(now - measured_at, 3))
        return idle
