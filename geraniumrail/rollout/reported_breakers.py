"""Circuit breakers of all entries during one move, as reported to the control leader."""

from collections.abc import Iterable

from geraniumrail.rollout.breaker_report import BreakerReport

_TRIAL_DELAY_S = 3
_MIN_OPEN_ENTRIES = 2
_ENTRY_TIMEOUT_S = 10  # after the last report of an entry; it reports every second


class ReportedBreakers:
    """Last breaker reports of each entry."""

    def __init__(self, service: str, version: str) -> None:
        """Starts without reports.

        :param service: service of the move.
        :param version: new version of the move.
        """
        self._scope = (service, version)
        self._reports_by_entry: dict[str, tuple[BreakerReport, ...]] = {}
        self._changed_at: dict[str, float] = {}
        self._seen_at: dict[str, float] = {}

    def observe(self, entry: str, reports: Iterable[BreakerReport], now: float) -> None:
        """Replaces the reports of one entry.

        :param entry: name of the entry.
        :param reports: all its breakers that have opened during a move.
        :param now: wall seconds.
        """
        of_move = tuple(
            report for report in reports if (report.service, report.version) == self._scope
        )
        times = [report.times for report in of_move]
        if times != [report.times for report in self._reports_by_entry.get(entry, ())]:
            self._changed_at[entry] = now
        self._reports_by_entry[entry] = of_move
        self._seen_at[entry] = now

    def expire(self, now: float) -> None:
        """Removes entries that no longer report, so that their breakers do not hold the move.

        :param now: wall seconds.
        """
        for entry, seen_at in tuple(self._seen_at.items()):
            if now - seen_at > _ENTRY_TIMEOUT_S:
                del self._seen_at[entry]
                self._reports_by_entry.pop(entry)
                self._changed_at.pop(entry, None)

    def all_closed(self) -> bool:
        """Returns whether no breaker blocks the version."""
        return all(report.state == 'closed' for _, report in self._reports())

    def requires_rollback(self, log_e: float) -> bool:
        """Returns whether the breakers alone end the move.

        They do if a breaker has opened again after a trial, or if breakers of several entries are
        open and the sequential test shows at least weak evidence of a fault. A disturbance of both
        versions may open several breakers at once.

        :param log_e: evidence of the sequential test.
        """
        is_open = [(entry, report) for entry, report in self._reports() if report.state == 'open']
        if any(report.times > 1 for _, report in is_open):
            return True
        return len({entry for entry, _ in is_open}) >= _MIN_OPEN_ENTRIES and log_e > 0

    def is_trial_due(self, step: int, now: float) -> bool:
        """Returns whether an open breaker may allow trial requests.

        :param step: recorded step; breakers that opened during an earlier one are allowed trials.
        :param now: wall seconds.
        """
        return any(
            report.state == 'open'
            and report.step >= step
            and now - self._changed_at[entry] >= _TRIAL_DELAY_S
            for entry, report in self._reports()
        )

    def __str__(self) -> str:
        """Returns the text for the recorded end of a move."""
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
