"""Detects several failures of a new version within few requests over all entries."""

from collections import defaultdict

from geraniumrail.rollout.circuit_breaker import CircuitBreaker
from geraniumrail.rollout.old_version_stats import OldVersionStats
from geraniumrail.rollout.outcome_stat import OutcomeStat


class FailureAlarm:
    """Detects faults earlier than the sequential test, so that the share can be lowered.

    It applies the error score of a circuit breaker to the sum of all entries, and so detects a
    fault that affects only few requests of each entry. It is not enough evidence to end a move.
    """

    def __init__(self, old_version: str, new_version: str) -> None:
        """Starts without samples.

        :param old_version: version to compare with.
        :param new_version: version that is tested.
        """
        self._versions = (old_version, new_version)
        self._old_stats = OldVersionStats()
        self._breakers: dict[str, CircuitBreaker] = defaultdict(CircuitBreaker)
        self._is_raised = False

    def observe(self, stat: OutcomeStat, now: float) -> None:
        """Counts the outcomes of one second.

        :param stat: counts of either version.
        :param now: seconds.
        """
        if stat.version == self._versions[0]:
            self._old_stats.add_outcomes(stat.route, stat.errors, stat.requests, now)
        elif stat.version == self._versions[1]:
            for scope in ('', stat.route):
                rate = self._old_stats.error_rate(scope, now)
                breaker = self._breakers[scope]
                raised = breaker.add_outcomes(stat.errors, stat.requests - stat.errors, rate)
                self._is_raised = self._is_raised or raised

    def reset_if_raised(self) -> bool:
        """Returns whether the alarm was raised, and resets it if so."""
        is_raised = self._is_raised
        if is_raised:
            self._breakers.clear()
            self._is_raised = False
        return is_raised
