"""What the leader grants the entries of each organisation's limit beyond their local parts."""

import dataclasses

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.bucket_size import BucketSize
from geraniumrail.fairness.limit_spending import Asked, LimitSpending
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
# While all entries are silent, callers are told to come back as if this part of the rate was left.
MIN_REFILL_PART = 0.1


def central_part(entries: int) -> float:
    """Returns the part of each limit that the central buckets hold.

    :param entries: number of entries.
    """
    return min(MAX_CENTRAL_PART, max(MIN_CENTRAL_PART, 1 - LOCAL_EVEN_SHARES / max(1, entries)))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reporting:
    """How much the leader knows of the local use by the entries."""

    entries: int = 1  # that have reported and may serve
    silent: int = 0  # of these, whose reports are overdue
    complete: bool = False  # no other entry may serve
    interval_s: float = 1.0  # between the reports of one entry; local use is known so much later

    @property
    def central_part(self) -> float:
        """Part of each limit that the entries leave to the central buckets."""
        return central_part(self.entries)

    @property
    def refill_part(self) -> float:
        """Part of the rate of a limit at which its bucket refills.

        Local use is charged to the bucket when it is reported. A silent entry may be cut off: it
        uses its local part, and its share of the central part without a leader.
        """
        if not self.complete:
            return self.central_part
        return 1 - self.silent / max(1, self.entries)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """What became of a request at the central bucket."""

    wait_s: float = 0  # until the bucket is above the level for the request; 0: it was granted
    retry_after_s: float = 0  # until it is likely to be granted, after those rejected before it
    mean: float = 0  # mean cost of the organisation's requests; 0: the limit is not scarce
    became_scarce: bool = False


@dataclasses.dataclass(frozen=True)
class _Level:
    left: float
    filled_at: float


class CentralBuckets:
    """One token bucket for each organisation; only those of the leader are used.

    A bucket refills at the rate of the whole limit, and what the entries admit from their local
    buckets is charged to it when they report it. So the parts of entries that are idle, restarting
    or gone are not lost to the organisation.

    Invariant: since the start, a bucket has granted at most what its rate has filled and its
    capacity, less the reported local use, and one request more. It starts empty, since an earlier
    leader may just have granted all that its bucket held.
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
        self._spending_by_organisation: dict[str, LimitSpending] = {}

    def restart(self, now: float) -> None:
        """Empties the buckets, since this process has just become the leader.

        :param now: seconds.
        """
        self._started_at = now
        self._levels_by_organisation = {}
        self._spending_by_organisation = {}

    def is_starting(self, now: float) -> bool:
        """Returns whether a refusal may be due to the empty start instead of the limit.

        :param now: seconds.
        """
        return now < self._started_at + STARTUP_S

    def take(
        self, organisation: Organisation, cost: float, now: float, reporting: Reporting
    ) -> float:
        """Takes an amount; returns 0, or seconds until it may be tried again.

        Any amount is granted while the level is above 0. Otherwise short requests would use up the
        limit of an organisation before the level is high enough for a long one.

        :param organisation: whose request it is.
        :param cost: amount that the entry's local bucket cannot cover.
        :param now: seconds.
        :param reporting: what is known of the entries.
        """
        if organisation.rate_per_s <= 0:
            return 0
        left = self._refill(organisation, now, reporting)
        if left > 0:
            self._levels_by_organisation[organisation.name] = _Level(left - cost, now)
            return 0
        return self._wait_s(organisation, 1 - left, reporting)

    def decide(
        self,
        organisation: Organisation,
        cost: float,
        now: float,
        reporting: Reporting,
        asked: Asked,
    ) -> Grant:
        """Takes an amount as `take` does, but with a reserve for small requests if it is scarce.

        :param organisation: whose request it is.
        :param cost: amount that the entry's local bucket cannot cover.
        :param now: seconds.
        :param reporting: what is known of the entries.
        :param asked: the whole request.
        """
        if organisation.rate_per_s <= 0 or not organisation.in_tokens:
            wait_s = self.take(organisation, cost, now, reporting)
            return Grant(wait_s=wait_s, retry_after_s=wait_s)
        spending = self.spending(organisation.name)
        spending.count(asked, now)
        was_scarce = spending.is_scarce(now)
        least = spending.least_level(asked, self._size(organisation).capacity, now)
        left = self._refill(organisation, now, reporting)
        if left > least:
            self._levels_by_organisation[organisation.name] = _Level(left - cost, now)
            spending.granted(asked, now)
            return Grant(mean=spending.mean(now) if was_scarce else 0)
        wait_s = self._wait_s(organisation, least + 1 - left, reporting)
        if self.is_starting(now) and not asked.known_mean:
            # The bucket may only be empty because this leader is new.
            return Grant(wait_s=wait_s, retry_after_s=wait_s)
        rate_per_s = 1 / self._wait_s(organisation, 1, reporting)
        return Grant(
            wait_s=wait_s,
            retry_after_s=spending.rejected(asked, rate_per_s, wait_s, now),
            mean=spending.mean(now),
            became_scarce=not was_scarce,
        )

    def spending(self, organisation: str) -> LimitSpending:
        """Returns what is known of the requests of an organisation.

        :param organisation: name.
        """
        return self._spending_by_organisation.setdefault(organisation, LimitSpending())

    def scarce_means(self, now: float) -> dict[str, float]:
        """Returns the mean cost of the requests of organisations whose limits are scarce.

        :param now: seconds.
        """
        return {
            name: spending.mean(now)
            for name, spending in self._spending_by_organisation.items()
            if spending.is_scarce(now)
        }

    def charge(
        self, organisation: Organisation, amount: float, now: float, reporting: Reporting
    ) -> None:
        """Charges what an entry has admitted from its local bucket.

        :param organisation: whose requests they were.
        :param amount: tokens or requests since the last report of the entry.
        :param now: seconds.
        :param reporting: what is known of the entries.
        """
        if organisation.rate_per_s > 0 and reporting.complete:
            left = self._refill(organisation, now, reporting)
            self._levels_by_organisation[organisation.name] = _Level(left - amount, now)

    def _refill(self, organisation: Organisation, now: float, reporting: Reporting) -> float:
        size = self._size(organisation)
        if reporting.complete:
            unreported = (1 - reporting.central_part) * size.rate_per_s * reporting.interval_s
            capacity = max(1, size.capacity - unreported)
        else:
            capacity = reporting.central_part * size.capacity
        known = self._levels_by_organisation.get(organisation.name)
        level = known or _Level(0, self._started_at)
        refilled = size.rate_per_s * reporting.refill_part * max(0, now - level.filled_at)
        left = min(capacity, level.left + refilled)
        self._levels_by_organisation[organisation.name] = _Level(left, now)
        return left

    def left(self, organisation: str) -> float:
        """Returns the level after the last request.

        :param organisation: name.
        """
        level = self._levels_by_organisation.get(organisation)
        return 0 if level is None else level.left

    def _wait_s(self, organisation: Organisation, missing: float, reporting: Reporting) -> float:
        rate_per_s = self._size(organisation).rate_per_s
        return missing / (rate_per_s * max(reporting.refill_part, MIN_REFILL_PART))

    def _size(self, organisation: Organisation) -> BucketSize:
        return BucketSize.from_limit(organisation, self._headroom, self._slack)
