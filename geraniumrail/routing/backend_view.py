"""What an entry knows of one backend server's load."""

import collections
import dataclasses
import math

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport

# Own sends are dropped when a newer report covers them; without reports they fade.
SENT_LIFE_S = 10.0
# The older a report, the more the estimate leans on the mean of the pool.
REPORT_LIFE_S = 5.0
MIN_TOKENS_PER_S = 50.0
PENALTY_S = 1.0
MAX_PENALTY_S = 8.0
PENALTY_LIFE_S = 3.0
MAX_CHANGES = 512
# About an announce lease: after it a backend server that is gone is no candidate any more, and one
# whose announcements this entry does not get is tried again.
SILENT_S = 6.0


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of load by this entry that a report may not include yet."""

    at: float
    requests: int
    tokens: float


class BackendView:
    """Last report, own sends since, and recent failures."""

    def __init__(self) -> None:
        """Starts without a report."""
        self.backend: Backend | None = None
        self.arrived_at: float = 0
        self.report = LoadReport()
        self.measured_at = -math.inf
        self.best_tokens_per_s: float = 0
        self.changes: collections.deque[Change] = collections.deque(maxlen=MAX_CHANGES)
        self._penalty_s: float = 0
        self._failed_at = -math.inf
        self.silent_until = -math.inf

    def expired(self, now: float) -> bool:
        """Tells whether the lease of the last announcement has ended.

        :param now: monotonic seconds.
        """
        return self.backend is not None and now > self.arrived_at + self.backend.lease_s

    def report_load(self, report: LoadReport, now: float) -> None:
        """Takes in a report unless a newer one is known.

        :param report: load; `age_s` counts from the measurement to `now`.
        :param now: monotonic seconds.
        """
        measured_at = now - report.age_s
        if measured_at <= self.measured_at:
            return
        self.report = report
        self.measured_at = measured_at
        self.best_tokens_per_s = max(report.tokens_per_s, self.best_tokens_per_s * 0.99)
        while self.changes and self.changes[0].at < measured_at:
            self.changes.popleft()

    def change(self, requests: int, tokens: float, now: float) -> None:
        """Notes a request that this entry sent (1) or saw finish (-1).

        :param requests: 1 or -1.
        :param tokens: tokens added or removed.
        :param now: monotonic seconds.
        """
        self.changes.append(Change(now, requests, tokens))

    def fail(self, now: float) -> None:
        """Notes a failure; failures in quick succession double the penalty.

        :param now: monotonic seconds.
        """
        self._penalty_s = min(MAX_PENALTY_S, max(PENALTY_S, 2 * self.penalty_s(now)))
        self._failed_at = now

    def penalty_s(self, now: float) -> float:
        """Returns the penalty for recent failures, in seconds of score.

        :param now: monotonic seconds.
        """
        if not self._penalty_s:
            return 0
        return self._penalty_s * max(0, 1 - (now - self._failed_at) / PENALTY_LIFE_S)

    def own_load(self, now: float) -> tuple[float, float]:
        """Returns requests and tokens by which own sends changed the reported load.

        :param now: monotonic seconds.
        """
        shares = [math.exp((change.at - now) / SENT_LIFE_S) for change in self.changes]
        pairs = tuple(zip(shares, self.changes, strict=True))
        return (
            sum(share * change.requests for share, change in pairs),
            sum(share * change.tokens for share, change in pairs),
        )
