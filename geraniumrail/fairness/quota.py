"""One entry's part of the limits that organisations have over all entries."""

import dataclasses
import math

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.bucket_size import BucketSize
from geraniumrail.fairness.central_buckets import central_part
from geraniumrail.fairness.entry_count import EntryCount
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.limit_spending import MIDDLE_RANK
from geraniumrail.fairness.scarce_limits import ScarceLimits
from geraniumrail.fairness.slack import Slack

# Part of a limit by which it may be exceeded; less than the 0.1 that is tolerated.
QUOTA_HEADROOM = 0.05
# Part of a limit that is divided evenly; the rest is divided by recent demand. Callers choose an
# entry at random, so most of the difference in recent demand is chance (docs/MEASUREMENTS.md,
# "Limits").
EVEN_PART = 0.7
# Used until the leader has sent the shares, which takes less than a second after the first report.
INITIAL_PART = 0.3
# Part of its capacity with which a bucket starts: a restarted entry must not admit a whole bucket
# again. The rest fills at the rate of the limit.
START_LEVEL_PART = 0.8
# Longest time after a refusal by the leader in which the entry does not ask it again for the
# organisation. A raised limit or a new leader takes effect within this time.
MAX_BACK_OFF_S = 0.5


@dataclasses.dataclass
class _Level:
    left: float
    filled_at: float
    back_off_until: float = -math.inf


@dataclasses.dataclass(frozen=True)
class Claim:
    """What the local bucket of an entry covers of one request."""

    wait_s: float = 0  # until the request may be tried again; 0 if it is not refused
    taken: float = 0  # from the local bucket
    shortfall: float = 0  # to take from the central bucket before the request is admitted
    is_large: bool = False  # the limit is scarce, and smaller requests go first


class Quota:
    """Local token buckets of one entry, one for each organisation.

    Invariant: the parts of all entries, and the central part if there is one, add up to at most the
    whole limit, as far as the entries have the same shares from the leader.
    """

    def __init__(
        self,
        headroom: float = 0,
        slack: Slack | None = None,
        started_at: float = -math.inf,
        *,
        has_central_buckets: bool = False,
    ) -> None:
        """Starts with `INITIAL_PART` of the limits.

        The headroom and the slack allow for the uneven division, which would otherwise refuse
        requests that are within the limit.

        :param headroom: part by which a limit may be exceeded.
        :param slack: tolerance for limits in tokens, of all entries together.
        :param started_at: when this entry started, seconds; its buckets fill from then on.
        :param has_central_buckets: the leader holds the central part of each limit.
        """
        self._has_central_buckets = has_central_buckets
        self._entries = EntryCount()
        self._headroom = headroom
        self._slack = slack or Slack()
        self._started_at = started_at
        self._share: EntryShare | None = None
        self._levels_by_organisation: dict[str, _Level] = {}
        self._demand_by_organisation: dict[str, float] = {}
        self._admitted_by_organisation: dict[str, float] = {}
        self.scarce = ScarceLimits()

    def update(self, share: EntryShare, now: float = 0) -> None:
        """Applies the shares sent by the leader.

        :param share: newest shares.
        :param now: seconds.
        """
        self._share = share
        self._entries.observe(share.entries, now)
        for organisation, mean in share.scarce_means.items():
            self.scarce.note(organisation, mean, now)

    def part(self, organisation: str) -> float:
        """Returns the part of an organisation's limit that this entry may use.

        :param organisation: name.
        """
        if self._share is None:
            return INITIAL_PART * self._local_part(1)
        entries = self._entries.highest
        even = 1 / entries
        recent = even
        if entries == self._share.entries:
            recent = self._share.share_by_organisation.get(organisation, even)
        return (EVEN_PART * even + (1 - EVEN_PART) * recent) * self._local_part(entries)

    def central_rate_per_s(self, organisation: Organisation) -> float:
        """Returns this entry's even share of the rate of the central bucket.

        :param organisation: whose limit it is.
        """
        entries = self._entries.highest
        rate = self._size(organisation).rate_per_s
        return central_part(entries) * rate / entries

    def _local_part(self, entries: int) -> float:
        return 1 - central_part(entries) if self._has_central_buckets else 1.0

    def claim(
        self, organisation: Organisation, cost: float, now: float, rank: int = MIDDLE_RANK
    ) -> Claim:
        """Takes the cost of a request from the local bucket.

        :param organisation: whose request it is.
        :param cost: tokens, or 1 if the limit is in requests.
        :param now: seconds.
        :param rank: of its route; 0 is the most urgent.
        """
        name = organisation.name
        self._demand_by_organisation[name] = self._demand_by_organisation.get(name, 0) + cost
        if organisation.rate_per_s <= 0:
            return Claim()
        part = self.part(name)
        size = self._size(organisation)
        rate, capacity = size.rate_per_s * part, size.capacity * part
        # A full bucket admits a single request, also one above its burst.
        capacity = max(capacity, 1)
        level = self._levels_by_organisation.get(name)
        if level is None:
            level = _Level(START_LEVEL_PART * capacity, self._started_at)
            self._levels_by_organisation[name] = level
        level.left = min(capacity, level.left + rate * max(0, now - level.filled_at))
        level.filled_at = now
        if self._has_central_buckets:
            large = self.scarce.is_large(name, cost, rank, now)
            if large:
                claim = self._claim_large(name, level, cost, now)
            else:
                claim = _claim_with_central(level, cost, now)
            if organisation.in_tokens and not claim.shortfall and (large or not claim.wait_s):
                self.scarce.count_local(name, cost, admitted=not claim.wait_s)
            self._count_admitted(name, claim.taken)
            return claim
        needed = min(cost, capacity)
        if level.left >= needed:
            level.left -= cost
            return Claim()
        return Claim(wait_s=(needed - level.left) / max(rate, 1e-9))

    def take(self, organisation: Organisation, cost: float, now: float) -> float:
        """Claims a request without central buckets; returns 0, or seconds until the next try.

        :param organisation: whose request it is.
        :param cost: tokens, or 1 if the limit is in requests.
        :param now: seconds.
        """
        return self.claim(organisation, cost, now).wait_s

    def refund(self, organisation: str, taken: float) -> None:
        """Returns tokens to the local bucket, since the central bucket did not cover the shortfall.

        :param organisation: whose request it was.
        :param taken: `taken` of the claim.
        """
        self._levels_by_organisation[organisation].left += taken
        self._count_admitted(organisation, -taken)

    def back_off(self, organisation: str, wait_s: float, now: float) -> None:
        """Refuses claims with a shortfall for a while, since the central bucket is empty.

        :param organisation: whose limit it is.
        :param wait_s: seconds until the central bucket is above 0 again.
        :param now: seconds.
        """
        self._levels_by_organisation[organisation].back_off_until = now + min(
            wait_s, MAX_BACK_OFF_S
        )

    def left(self, organisation: str) -> float:
        """Returns the level of the local bucket after the last request.

        :param organisation: name.
        """
        level = self._levels_by_organisation.get(organisation)
        return 0 if level is None else level.left

    def pop_admitted(self) -> dict[str, float]:
        """Returns what the local buckets have admitted since the last call."""
        admitted = self._admitted_by_organisation
        self._admitted_by_organisation = {}
        return admitted

    def pop_demand(self) -> dict[str, float]:
        """Returns the cost of requests since the last call, refused ones included."""
        demand = self._demand_by_organisation
        self._demand_by_organisation = {}
        return demand

    def _claim_large(self, name: str, level: _Level, cost: float, now: float) -> Claim:
        wait_s = max(self.scarce.large_wait_s(name, now), level.back_off_until - now)
        if wait_s > 0:
            return Claim(wait_s=wait_s, is_large=True)
        return Claim(shortfall=cost, is_large=True)

    def _size(self, organisation: Organisation) -> BucketSize:
        return BucketSize.from_limit(organisation, self._headroom, self._slack)

    def _count_admitted(self, organisation: str, taken: float) -> None:
        known = self._admitted_by_organisation.get(organisation, 0)
        self._admitted_by_organisation[organisation] = known + taken


def _claim_with_central(level: _Level, cost: float, now: float) -> Claim:
    taken = min(cost, max(0, level.left))
    shortfall = cost - taken
    if shortfall > 0 and now < level.back_off_until:
        return Claim(wait_s=level.back_off_until - now)
    level.left -= taken
    return Claim(taken=taken, shortfall=shortfall)
