"""What the control leader knows about the breakers of all entries during one move."""

from collections.abc import Iterable

from geraniumrail.rollout.breaker_report import BreakerReport

_PROBE_DELAY_S = 3
_ENTRIES_TO_CONDEMN = 2
_SILENT_S = 10  # after which an entry is taken for gone; it reports every second


class ReportedBreakers:
    """Last breaker reports by entry."""

    def __init__(self, service: str, version: str) -> None:
        """Starts without reports.

        :param service: service of the move.
        :param version: version on trial.
        """
        self._scope = (service, version)
        self._reports_by_entry: dict[str, tuple[BreakerReport, ...]] = {}
        self._changed_at: dict[str, float] = {}
        self._seen_at: dict[str, float] = {}

    def observe(self, entry: str, reports: Iterable[BreakerReport], now: float) -> None:
        """Takes all breakers of one entry that have opened during the move.

        :param entry: name of the entry.
        :param reports: its breakers.
        :param now: wall seconds.
        """
        mine = tuple(
            report for report in reports if (report.service, report.version) == self._scope
        )
        times = [report.times for report in mine]
        if times != [report.times for report in self._reports_by_entry.get(entry, ())]:
            self._changed_at[entry] = now
        self._reports_by_entry[entry] = mine
        self._seen_at[entry] = now

    def expire(self, now: float) -> None:
        """Forgets entries that no longer report, so that their breakers do not hold the move.

        :param now: wall seconds.
        """
        for entry, seen_at in tuple(self._seen_at.items()):
            if now - seen_at > _SILENT_S:
                del self._seen_at[entry]
                self._reports_by_entry.pop(entry)
                self._changed_at.pop(entry, None)

    def all_closed(self) -> bool:
        """Tells whether no breaker blocks the version."""
        return all(report.state == 'closed' for _, report in self._reports())

    def condemns(self, log_e: float) -> bool:
        """Tells whether the breakers alone end the move.

        One breaker that opens again on trial does, and so do breakers of several entries unless
        the comparison with the old version speaks against a fault: a shock that hits both
        versions may open several breakers at once.

        :param log_e: evidence of the sequential test.
        """
        is_open = [(entry, report) for entry, report in self._reports() if report.state == 'open']
        if any(report.times > 1 for _, report in is_open):
            return True
        return len({entry for entry, _ in is_open}) >= _ENTRIES_TO_CONDEMN and log_e > 0

    def trial_is_due(self, step: int, now: float) -> bool:
        """Tells whether an open breaker may try the version again.

        :param step: recorded step; a breaker that opened during an earlier one has been allowed.
        :param now: wall seconds.
        """
        return any(
            report.state == 'open'
            and report.step >= step
            and now - self._changed_at[entry] >= _PROBE_DELAY_S
            for entry, report in self._reports()
        )

    def __str__(self) -> str:
        """Returns the form used in recorded ends."""
        return ' '.join(
            f'{entry}:{report.route or "all"}:{report.cause}x{report.times}'
            for entry, report in self._reports()
        )

    def _reports(self) -> list[tuple[str, BreakerReport]]:
        return [
            (entry, report)
            for entry in sorted(self._reports_by_entry)
            for report in self._reports_by_entry[entry]
        ]
