"""State of one backend server as an entry sees it."""

import collections
import dataclasses
import math

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport

# Time constant with which the load of own requests decays until a newer report includes it.
OWN_LOAD_DECAY_S = 10.0
# Time constant with which the estimate moves from a report to the mean of all backend servers.
REPORT_DECAY_S = 5.0
MIN_TOKENS_PER_S = 50.0
BEST_RATE_DECAY = 0.99  # per report
PENALTY_S = 1.0
MAX_PENALTY_S = 8.0
PENALTY_DURATION_S = 3.0
MAX_LOAD_CHANGES = 512
# About the lease of an announcement: after it a lost backend server is no candidate any more, and
# one whose announcements do not reach this entry is tried again.
UNRESPONSIVE_S = 6.0


@dataclasses.dataclass(frozen=True)
class LoadChange:
    """A change of load caused by this entry that no report includes yet."""

    at: float
    requests: int
    tokens: float


class BackendView:
    """Last report, load changes by this entry since, and recent failures."""

    def __init__(self) -> None:
        """Starts without a report."""
        self.backend: Backend | None = None
        self.arrived_at: float = 0
        self.report = LoadReport()
        self.measured_at = -math.inf
        self.best_tokens_per_s: float = 0
        self.changes: collections.deque[LoadChange] = collections.deque(maxlen=MAX_LOAD_CHANGES)
        self._penalty_s: float = 0
        self._failed_at = -math.inf
        self.unresponsive_until = -math.inf

    def lease_expired(self, now: float) -> bool:
        """Returns whether the lease of the last announcement has expired.

        :param now: monotonic seconds.
        """
        return self.backend is not None and now > self.arrived_at + self.backend.lease_s

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Stores a report unless a newer one is present.

        :param report: load; `age_s` counts from the measurement to `now`.
        :param now: monotonic seconds.
        """
        measured_at = now - report.age_s
        if measured_at <= self.measured_at:
            return
        self.report = report
        self.measured_at = measured_at
        self.best_tokens_per_s = max(report.tokens_per_s, self.best_tokens_per_s * BEST_RATE_DECAY)
        while self.changes and self.changes[0].at < measured_at:
            self.changes.popleft()

    def record_change(self, requests: int, tokens: float, now: float) -> None:
        """Records that a request of this entry was sent or has finished.

        :param requests: 1 when sent, -1 when finished.
        :param tokens: tokens added or removed.
        :param now: monotonic seconds.
        """
        self.changes.append(LoadChange(now, requests, tokens))

    def record_failure(self, now: float) -> None:
        """Records a failure; it doubles what remains of an earlier penalty.

        :param now: monotonic seconds.
        """
        self._penalty_s = min(MAX_PENALTY_S, max(PENALTY_S, 2 * self.penalty_s(now)))
        self._failed_at = now

    def penalty_s(self, now: float) -> float:
        """Returns the penalty for recent failures, a part of the score in seconds.

        :param now: monotonic seconds.
        """
        if not self._penalty_s:
            return 0
        return self._penalty_s * max(0, 1 - (now - self._failed_at) / PENALTY_DURATION_S)

    def own_load(self, now: float) -> tuple[float, float]:
        """Returns the requests and tokens that this entry added since the report, weighted by age.

        :param now: monotonic seconds.
        """
        shares = [math.exp((change.at - now) / OWN_LOAD_DECAY_S) for change in self.changes]
        pairs = tuple(zip(shares, self.changes, strict=True))
        return (
            sum(share * change.requests for share, change in pairs),
            sum(share * change.tokens for share, change in pairs),
        )
