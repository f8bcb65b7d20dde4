"""What one entry knows of the limits that are scarce, from the leader's answers."""

import collections
import dataclasses
import math

from geraniumrail.fairness.limit_spending import Asked, is_large

# An entry takes a limit for scarce so long after the leader last said so, in an answer or with an
# update; its lease ends then.
KNOWN_S = 4.0


@dataclasses.dataclass
class _Known:
    mean: float = 0  # mean cost of the organisation's requests
    scarce_until: float = -math.inf
    large_until: float = -math.inf  # large requests are rejected until then
    large_retry_at: float = -math.inf  # callers of large requests are told to come back then
    local_admitted: int = 0
    local_rejected: int = 0
    local_tokens: float = 0


class ScarceLimits:
    """Keeps the local buckets for small requests while a limit is scarce."""

    def __init__(self) -> None:
        """Starts without scarce limits."""
        self.rejected: collections.Counter[tuple[str, str]] = collections.Counter()
        self._known_by_organisation: dict[str, _Known] = {}

    def mean(self, organisation: str, now: float) -> float:
        """Returns the mean cost of an organisation's requests, or 0 if its limit is not scarce.

        :param organisation: name.
        :param now: seconds.
        """
        known = self._known_by_organisation.get(organisation)
        return 0 if known is None or now >= known.scarce_until else known.mean

    def is_large(self, organisation: str, cost: float, rank: int, now: float) -> bool:
        """Returns whether a request has to leave the local bucket to smaller ones.

        :param organisation: name.
        :param cost: of the request.
        :param rank: of its route; 0 is the most urgent.
        :param now: seconds.
        """
        return is_large(cost, rank, self.mean(organisation, now))

    def large_wait_s(self, organisation: str, now: float) -> float:
        """Returns for how long large requests are rejected without asking the leader.

        :param organisation: name.
        :param now: seconds.
        """
        known = self._known_by_organisation.get(organisation)
        return 0 if known is None else max(0, known.large_until - now)

    def note(self, organisation: str, mean: float, now: float) -> None:
        """Takes what the leader answered.

        :param organisation: name.
        :param mean: mean cost of its requests; 0 if the limit is not scarce.
        :param now: seconds.
        """
        known = self._known(organisation)
        known.mean = mean
        known.scarce_until = now + KNOWN_S if mean else -math.inf

    def extend(self, organisation: str, now: float) -> None:
        """Keeps a limit scarce for longer, since no leader tells whether it still is.

        :param organisation: name.
        :param now: seconds.
        """
        if self.mean(organisation, now):
            self._known(organisation).scarce_until = now + KNOWN_S

    def back_off_large(
        self, organisation: str, wait_s: float, retry_after_s: float, now: float
    ) -> None:
        """Rejects large requests for a while.

        :param organisation: name.
        :param wait_s: seconds.
        :param retry_after_s: until the last one is likely to be granted; the same is told to those
            that are rejected meanwhile.
        :param now: seconds.
        """
        known = self._known(organisation)
        known.large_until = now + wait_s
        known.large_retry_at = now + retry_after_s

    def large_retry_s(self, organisation: str, now: float) -> float:
        """Returns what callers of large requests are told that are rejected without a question.

        :param organisation: name.
        :param now: seconds.
        """
        return max(0, self._known(organisation).large_retry_at - now)

    def count_local(self, organisation: str, cost: float, *, admitted: bool) -> None:
        """Counts a request that was decided without asking the leader.

        :param organisation: name.
        :param cost: of the request.
        :param admitted: from the local bucket; else it was large and rejected.
        """
        known = self._known(organisation)
        known.local_admitted += admitted
        known.local_rejected += not admitted
        known.local_tokens += cost

    def pop_asked(self, organisation: str, cost: float, rank: int, now: float) -> Asked:
        """Returns what the leader is told with a question, and starts to count again.

        :param organisation: name.
        :param cost: of the request.
        :param rank: of its route; 0 is the most urgent.
        :param now: seconds.
        """
        known = self._known(organisation)
        asked = Asked(
            cost=cost,
            rank=rank,
            local_admitted=known.local_admitted,
            local_rejected=known.local_rejected,
            local_tokens=known.local_tokens,
            known_mean=self.mean(organisation, now),
        )
        known.local_admitted = 0
        known.local_rejected = 0
        known.local_tokens = 0
        return asked

    def _known(self, organisation: str) -> _Known:
        return self._known_by_organisation.setdefault(organisation, _Known())
