"""Circuit breaker of a new version, or of one route of it, at one entry."""

import dataclasses
import math
from collections import deque

# Scores are sums of log likelihood ratios of a faulty version against the old version.
_OPEN_SCORE = math.log(1000)
_MIN_FAULTY_RATE = 0.5
_SLOW_SHARE_OLD = 0.05
_SLOW_SHARE_FAULTY = 0.6
_SLOW_SCORE = math.log(_SLOW_SHARE_FAULTY / _SLOW_SHARE_OLD)
_FAST_SCORE = math.log((1 - _SLOW_SHARE_FAULTY) / (1 - _SLOW_SHARE_OLD))
_TRIAL_INTERVAL_S = 0.5
_TRIALS_TO_CLOSE = 3
_MAX_OLD_RATE = 0.95

Wait = tuple[str, float, int]  # attempt id, start in seconds, load band


@dataclasses.dataclass
class CircuitBreaker:
    """State of a circuit breaker, with the scores that open it."""

    state: str = 'closed'
    cause: str = ''
    step: int = 0
    times: int = 0
    error_score: float = 0
    slow_score: float = 0
    good_trials: int = 0
    last_trial_at: float = float('-inf')
    overdue: int = 0  # attempts that were counted as slow before their first token
    waits: deque[Wait] = dataclasses.field(default_factory=deque)

    def add_outcomes(self, errors: int, successes: int, old_rate: float) -> bool:
        """Scores requests that ended; returns whether the breaker must open.

        :param errors: how many failed; they are scored before the successes.
        :param successes: how many did not fail.
        :param old_rate: recent error rate of the old version, above 0.
        """
        old_rate = min(old_rate, _MAX_OLD_RATE)
        faulty_rate = max(_MIN_FAULTY_RATE, (1 + old_rate) / 2)
        self.error_score += errors * math.log(faulty_rate / old_rate)
        opens = self.error_score >= _OPEN_SCORE
        if successes:
            self.error_score += successes * math.log((1 - faulty_rate) / (1 - old_rate))
            self.error_score = max(0, self.error_score)
        return opens

    def add_latency(self, slow: bool) -> bool:
        """Scores a latency sample; returns whether the breaker must open.

        :param slow: whether it is above the limit of the old version.
        """
        self.slow_score = max(0, self.slow_score + (_SLOW_SCORE if slow else _FAST_SCORE))
        return self.slow_score >= _OPEN_SCORE

    def open(self, cause: str, step: int) -> None:
        """Opens the breaker.

        :param cause: error_rate or latency.
        :param step: step of the move.
        """
        self.state = 'open'
        self.cause = cause
        self.step = step
        self.times += 1

    def half_open(self) -> None:
        """Allows single trial requests to the version."""
        self.state = 'half_open'
        self.good_trials = 0
        self.error_score = 0
        self.slow_score = 0
        self.last_trial_at = float('-inf')

    def count_trial(self, bad: bool, step: int) -> bool:
        """Counts the outcome of a trial; returns whether the breaker has closed.

        :param bad: whether it failed or was slow.
        :param step: step of the move.
        """
        if bad:
            self.open(self.cause, step)
            return False
        self.good_trials += 1
        if self.good_trials < _TRIALS_TO_CLOSE:
            return False
        self.state = 'closed'
        return True

    def blocks(self, now: float) -> bool:
        """Returns whether a request may not be sent; while half-open, allows trials at intervals.

        :param now: seconds.
        """
        if self.state == 'closed':
            return False
        if self.state == 'open' or now - self.last_trial_at < _TRIAL_INTERVAL_S:
            return True
        self.last_trial_at = now
        return False
