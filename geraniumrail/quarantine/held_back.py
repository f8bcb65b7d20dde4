"""When an entry last had requests of each quarantine."""

from collections.abc import Container, Iterable

from geraniumrail.quarantine.quarantine import Quarantine

# A quarantine that is met all the time is reported once in this time.
REPORT_AGAIN_S = 60.0


class HeldBack:
    """Tells the leader which quarantines are still met, so that none of these ends as unused."""

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._met_at: dict[str, float] = {}  # by label
        self._reported_at: dict[str, float] = {}

    def record(self, quarantines: Iterable[Quarantine], now: float) -> None:
        """Records a request.

        :param quarantines: those that cover it.
        :param now: monotonic seconds.
        """
        for quarantine in quarantines:
            self._met_at[quarantine.label] = now

    def keep(self, labels: Container[str]) -> None:
        """Forgets quarantines that have ended.

        :param labels: of those in force.
        """
        self._met_at = {label: at for label, at in self._met_at.items() if label in labels}
        self._reported_at = {
            label: at for label, at in self._reported_at.items() if label in labels
        }

    def report(self, now: float) -> dict[str, float]:
        """Returns how long ago requests met a quarantine, for those that are due.

        :param now: monotonic seconds.
        """
        due = {label: at for label, at in self._met_at.items() if self._is_due(label, at, now)}
        self._reported_at.update(dict.fromkeys(due, now))
        return {label: round(now - at, 3) for label, at in due.items()}

    def requeue_all(self) -> None:
        """Reports everything again, to a new leader."""
        self._reported_at = {}

    def _is_due(self, label: str, met_at: float, now: float) -> bool:
        reported_at = self._reported_at.get(label)
        if reported_at is None:
            return True
        return met_at > reported_at and now >= reported_at + REPORT_AGAIN_S
