"""Notices several failures within few requests over all entries."""

from collections import defaultdict

from geraniumrail.rollout.circuit_breaker import CircuitBreaker
from geraniumrail.rollout.old_version_stats import OldVersionStats
from geraniumrail.rollout.outcome_stat import OutcomeStat


class FailureAlarm:
    """Lowers the share before the comparison ends the move.

    The test of a breaker, on the sum of all entries: a fault that reaches few requests of each
    entry shows here first. It is not proof enough to end a move.
    """

    def __init__(self, old_version: str, new_version: str) -> None:
        """Starts without figures.

        :param old_version: version to compare with.
        :param new_version: version on trial.
        """
        self._versions = (old_version, new_version)
        self._old = OldVersionStats()
        self._cells: dict[str, CircuitBreaker] = defaultdict(CircuitBreaker)
        self._is_raised = False

    def observe(self, stat: OutcomeStat, now: float) -> None:
        """Counts the outcomes of one second.

        :param stat: counts of either version.
        :param now: seconds.
        """
        if stat.version == self._versions[0]:
            self._old.add_outcomes(stat.route, stat.errors, stat.requests, now)
        elif stat.version == self._versions[1]:
            for scope in ('', stat.route):
                rate = self._old.error_rate(scope, now)
                cell = self._cells[scope]
                raised = cell.add_outcomes(stat.errors, stat.requests - stat.errors, rate)
                self._is_raised = self._is_raised or raised

    def reset_if_raised(self) -> bool:
        """Returns whether the alarm was raised, and starts again if so."""
        is_raised = self._is_raised
        if is_raised:
            self._cells.clear()
            self._is_raised = False
        return is_raised
