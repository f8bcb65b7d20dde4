"""Interface of parts that process the reports of the entries."""

from typing import Protocol

from geraniumrail.links.messages import EntryReport


class ReportSink(Protocol):
    """Receives each report, on the leader."""

    def observe(self, report: EntryReport, now: float) -> None:
        """Processes one report.

        :param report: the report.
        :param now: monotonic seconds.
        """
