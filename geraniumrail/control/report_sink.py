"""Interface of parts that use the entries' reports."""

from typing import Protocol

from geraniumrail.links.messages import EntryReport


class ReportSink(Protocol):
    """Gets each report on the leader."""

    def observe(self, report: EntryReport, now: float) -> None:
        """Uses one report.

        :param report: the report.
        :param now: monotonic seconds.
        """
