"""The part of each organisation's limit that entries take from one place."""

import dataclasses

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.slack import Slack

# Part of each limit that the ledger holds; the rest is divided over the entries. With few entries
# the divided parts hold a long prompt each, and carry the usual demand while there is no leader;
# with many entries they hold short requests only.
LEAST_LENT_PART = 0.4
MOST_LENT_PART = 0.8
# The divided rest is at most this many times the whole limit over the number of entries.
DIVIDED_PARTS = 2.4
# A ledger that started empty has filled, and has served those that waited for it, within this time.
STARTING_S = 4.0


def lent_part(entries: int) -> float:
    """Returns the part of each limit that the ledger holds.

    :param entries: number of entries.
    """
    return min(MOST_LENT_PART, max(LEAST_LENT_PART, 1 - DIVIDED_PARTS / max(1, entries)))


@dataclasses.dataclass(frozen=True)
class _Level:
    left: float
    filled_at: float


class CentralBuckets:
    """One token bucket for each organisation; only the leader's is used.

    Invariant: from its start the ledger lends at most what its rate has filled and the bucket
    holds, and beyond that one request. It starts empty, since an earlier leader may just have lent
    what its own held.
    """

    def __init__(self, headroom: float = 0, slack: Slack | None = None) -> None:
        """Starts empty.

        :param headroom: part by which a limit may be exceeded.
        :param slack: by which limits in tokens may be exceeded by all entries together.
        """
        self._headroom = headroom
        self._slack = slack or Slack()
        self._started_at: float = 0
        self._levels_by_organisation: dict[str, _Level] = {}

    def restart(self, now: float) -> None:
        """Forgets everything: this process has just become the leader.

        :param now: seconds.
        """
        self._started_at = now
        self._levels_by_organisation = {}

    def is_starting(self, now: float) -> bool:
        """Tells whether a refusal may come from the start, and not from the limit.

        :param now: seconds.
        """
        return now < self._started_at + STARTING_S

    def take(self, organisation: Organisation, cost: float, now: float, entries: int = 1) -> float:
        """Takes what a request lacks; returns 0, or seconds until something is left again.

        A request is admitted while anything is left, whatever its size: otherwise short requests
        would use up the limit of an organisation before a long one could pass.

        :param organisation: whose request it is.
        :param cost: what the entry lacks.
        :param now: seconds.
        :param entries: number of entries that the leader knows.
        """
        if organisation.rate_per_s <= 0:
            return 0
        part = lent_part(entries)
        rate, full = part * self._rate(organisation), part * self._full(organisation)
        known = self._levels_by_organisation.get(organisation.name)
        level = known or _Level(0, self._started_at)
        left = min(full, level.left + rate * max(0, now - level.filled_at))
        if left > 0:
            self._levels_by_organisation[organisation.name] = _Level(left - cost, now)
            return 0
        self._levels_by_organisation[organisation.name] = _Level(left, now)
        # At least the time in which one unit is filled.
        return (1 - left) / rate

    def left(self, organisation: str) -> float:
        """Returns what was left after the last request.

        :param organisation: name.
        """
        level = self._levels_by_organisation.get(organisation)
        return 0 if level is None else level.left

    def _rate(self, organisation: Organisation) -> float:
        extra = self._slack.rate_per_s if organisation.in_tokens else 0
        return organisation.rate_per_s * (1 + self._headroom) + extra

    def _full(self, organisation: Organisation) -> float:
        extra = self._slack.burst if organisation.in_tokens else 0
        return max(1, organisation.burst * (1 + self._headroom) + extra)
