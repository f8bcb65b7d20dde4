"""The part of each organisation's limit that the leader grants to the entries on request."""

import dataclasses

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.slack import Slack

# Bounds of the central part of each limit; the local part, which is the rest, is divided over the
# entries. With few entries each local bucket can hold a long prompt, and together they carry the
# usual demand while there is no leader; with many entries they hold short requests only.
MIN_CENTRAL_PART = 0.4
MAX_CENTRAL_PART = 0.8
# Between these bounds the local part is this many times an even share of the whole limit.
LOCAL_EVEN_SHARES = 2.4
# Central buckets that started empty have filled, and have served the requests that waited for them,
# within this time.
STARTUP_S = 4.0


def central_part(entries: int) -> float:
    """Returns the part of each limit that the central buckets hold.

    :param entries: number of entries.
    """
    return min(MAX_CENTRAL_PART, max(MIN_CENTRAL_PART, 1 - LOCAL_EVEN_SHARES / max(1, entries)))


@dataclasses.dataclass(frozen=True)
class _Level:
    left: float
    filled_at: float


class CentralBuckets:
    """One token bucket for each organisation; only those of the leader are used.

    Invariant: since the start, a bucket has granted at most what its rate has filled and its
    capacity, and one request more. It starts empty, since an earlier leader may just have granted
    all that its bucket held.
    """

    def __init__(self, headroom: float = 0, slack: Slack | None = None) -> None:
        """Starts empty.

        :param headroom: part by which a limit may be exceeded.
        :param slack: tolerance for limits in tokens, of all entries together.
        """
        self._headroom = headroom
        self._slack = slack or Slack()
        self._started_at: float = 0
        self._levels_by_organisation: dict[str, _Level] = {}

    def restart(self, now: float) -> None:
        """Empties the buckets, since this process has just become the leader.

        :param now: seconds.
        """
        self._started_at = now
        self._levels_by_organisation = {}

    def is_starting(self, now: float) -> bool:
        """Returns whether a refusal may be due to the empty start instead of the limit.

        :param now: seconds.
        """
        return now < self._started_at + STARTUP_S

    def take(self, organisation: Organisation, cost: float, now: float, entries: int = 1) -> float:
        """Takes an amount; returns 0, or seconds until it may be tried again.

        Any amount is granted while the level is above 0. Otherwise short requests would use up the
        limit of an organisation before the level is high enough for a long one.

        :param organisation: whose request it is.
        :param cost: amount that the entry's local bucket cannot cover.
        :param now: seconds.
        :param entries: number of entries that have reported to the leader.
        """
        if organisation.rate_per_s <= 0:
            return 0
        part = central_part(entries)
        rate, capacity = part * self._rate(organisation), part * self._capacity(organisation)
        known = self._levels_by_organisation.get(organisation.name)
        level = known or _Level(0, self._started_at)
        left = min(capacity, level.left + rate * max(0, now - level.filled_at))
        if left > 0:
            self._levels_by_organisation[organisation.name] = _Level(left - cost, now)
            return 0
        self._levels_by_organisation[organisation.name] = _Level(left, now)
        # Seconds until the bucket has refilled to one unit.
        return (1 - left) / rate

    def left(self, organisation: str) -> float:
        """Returns the level after the last request.

        :param organisation: name.
        """
        level = self._levels_by_organisation.get(organisation)
        return 0 if level is None else level.left

    def _rate(self, organisation: Organisation) -> float:
        extra = self._slack.rate_per_s if organisation.in_tokens else 0
        return organisation.rate_per_s * (1 + self._headroom) + extra

    def _capacity(self, organisation: Organisation) -> float:
        extra = self._slack.burst if organisation.in_tokens else 0
        return max(1, organisation.burst * (1 + self._headroom) + extra)
