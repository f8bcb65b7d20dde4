"""Decides which requests of an organisation are granted while its limit is scarce.

Load: an organisation asks for several times its limit in tokens for some seconds, and its small
requests are worth more for each token than its large ones.
"""

import dataclasses
import math

# A limit is scarce for this long after its last rejection.
SCARCE_S = 2.0
# Time constant of the sums that give the mean cost.
MEAN_S = 20.0
# Time constant of the demand of small requests.
DEMAND_S = 2.0
# The mean is not used before the sums contain so many requests.
MIN_REQUESTS = 20
# The reserve for small requests is their demand in this time, and the mean cost of large requests:
# a grant takes its whole cost, and small ones are rejected until the level is above 0 again.
RESERVE_S = 0.25
# Part of the capacity that the reserve takes at most. What is reserved at the end of a burst is not
# used by it.
MAX_RESERVE_PART = 0.25
# Large requests are granted at least this part as often as small ones. Bursts last up to 11 s; a
# longer one is a steady state, in which large requests must not be kept back.
BURST_GUARD = 0.2
STEADY_GUARD = 0.7
BURST_S = 12.0
# Time constant of the sums that are compared for this.
GUARD_S = 20.0
# Least part of the rate at which large requests are expected to be granted.
MIN_LARGE_PART = 0.1
# Rejected requests that would wait longer have given up; they hold no place.
MAX_RETRY_S = 10.0
# Callers wait at most this part of the time that they have left.
LONGEST_WAIT_PART = 1 / 3
# A request comes back within this part of the time to its target, since a late answer is worth
# little. The rest is for the answer.
TARGET_PART = 0.8
# A request whose route is five ranks more urgent counts as half as large.
MIDDLE_RANK = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Asked:
    """A request for which an entry asks, and what the entry decided alone since the last one."""

    cost: float  # whole cost of the request
    rank: int = MIDDLE_RANK  # of its route; 0 is the most urgent
    local_admitted: int = 0
    local_rejected: int = 0  # large ones
    local_tokens: float = 0  # of both
    known_mean: float = 0  # told by a leader while the limit was scarce; 0: none


def is_large(cost: float, rank: int, mean: float) -> bool:
    """Returns whether a request may not use the reserve.

    :param cost: whole cost of the request.
    :param rank: of its route; 0 is the most urgent.
    :param mean: mean cost of the organisation's requests; 0: not known.
    """
    return mean > 0 and cost * 2 ** ((rank - MIDDLE_RANK) / MIDDLE_RANK) > mean


def useful_wait_s(wait_s: float, left_s: float, target_left_s: float) -> float:
    """Returns the time after which a caller should come back.

    :param wait_s: after which its request is likely to be admitted.
    :param left_s: until its answer is due.
    :param target_left_s: until its answer, or the first event of it, is late; infinite: no target.
    """
    longest_s = LONGEST_WAIT_PART * left_s
    if target_left_s > 0:
        longest_s = min(longest_s, TARGET_PART * target_left_s)
    return max(0, min(wait_s, longest_s))


class DecayedSum:
    """A sum whose items lose weight with time."""

    def __init__(self, constant_s: float) -> None:
        """Starts at 0.

        :param constant_s: time after which an item has lost 63% of its weight.
        """
        self._constant_s = constant_s
        self._sum: float = 0
        self._at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Adds an item.

        :param amount: its size.
        :param now: seconds.
        """
        self._sum = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Returns the sum.

        :param now: seconds.
        """
        return self._sum * math.exp(min(0, self._at - now) / self._constant_s)


class _Class:
    """Small or large requests since the limit became scarce."""

    def __init__(self) -> None:
        self.asked = DecayedSum(GUARD_S)
        self.granted = DecayedSum(GUARD_S)
        self.promised_until: float = 0  # end of the virtual queue of rejected requests

    def granted_part(self, now: float) -> float:
        return self.granted.value(now) / max(1, self.asked.value(now))

    def place(self, cost: float, rate_per_s: float, opens_s: float, now: float) -> float:
        """Returns after how long a rejected request is likely to be granted."""
        start = max(self.promised_until, now + opens_s)
        if start < now + MAX_RETRY_S:
            self.promised_until = start + cost / rate_per_s
        return min(MAX_RETRY_S, start - now)


class LimitSpending:
    """One organisation's limit at the leader; it never grants what the bucket alone would not."""

    def __init__(self) -> None:
        """Starts without knowledge of the organisation's requests."""
        self.scarce_since = math.inf
        self._rejected_at = -math.inf
        self._requests = DecayedSum(MEAN_S)
        self._tokens = DecayedSum(MEAN_S)
        self._small_tokens = DecayedSum(DEMAND_S)
        self._large_tokens = DecayedSum(MEAN_S)
        self._large_requests = DecayedSum(MEAN_S)
        self._known_mean: float = 0
        self._small = _Class()
        self._large = _Class()

    def count(self, asked: Asked, now: float) -> None:
        """Counts a request, and those that its entry decided alone.

        :param asked: the request.
        :param now: seconds.
        """
        local = asked.local_admitted + asked.local_rejected
        self._requests.add(1 + local, now)
        self._tokens.add(asked.cost + asked.local_tokens, now)
        if asked.known_mean:
            self._known_mean = asked.known_mean
        if self.is_scarce(now):
            self._small.asked.add(asked.local_admitted, now)
            self._small.granted.add(asked.local_admitted, now)
            self._large.asked.add(asked.local_rejected, now)
            self._class_of(asked, now).asked.add(1, now)
        if is_large(asked.cost, asked.rank, self.mean(now)):
            self._large_tokens.add(asked.cost, now)
            self._large_requests.add(1, now)
        else:
            self._small_tokens.add(asked.cost, now)

    def is_scarce(self, now: float) -> bool:
        """Returns whether the bucket rejected requests lately.

        :param now: seconds.
        """
        return now < self._rejected_at + SCARCE_S

    def mean(self, now: float) -> float:
        """Returns the mean cost of the organisation's requests, 0 if it is not known.

        :param now: seconds.
        """
        requests = self._requests.value(now)
        return self._known_mean if requests < MIN_REQUESTS else self._tokens.value(now) / requests

    def reserve(self, capacity: float, now: float) -> float:
        """Returns the part of the bucket that is kept for small requests.

        :param capacity: of the bucket.
        :param now: seconds.
        """
        if not self.is_scarce(now):
            return 0
        large_mean = self._large_tokens.value(now) / max(1, self._large_requests.value(now))
        wanted = RESERVE_S * self.small_per_s(now) + large_mean
        return min(MAX_RESERVE_PART * capacity, wanted)

    def small_per_s(self, now: float) -> float:
        """Returns the cost of small requests in a second.

        :param now: seconds.
        """
        return self._small_tokens.value(now) / DEMAND_S

    def least_level(self, asked: Asked, capacity: float, now: float) -> float:
        """Returns the level of the bucket above which a request is granted.

        :param asked: the request.
        :param capacity: of the bucket.
        :param now: seconds.
        """
        if self._class_of(asked, now) is self._small or self._is_large_due(now):
            return 0
        return self.reserve(capacity, now)

    def granted(self, asked: Asked, now: float) -> None:
        """Counts a grant.

        :param asked: the request.
        :param now: seconds.
        """
        if self.is_scarce(now):
            self._class_of(asked, now).granted.add(1, now)

    def rejected(self, asked: Asked, rate_per_s: float, opens_s: float, now: float) -> float:
        """Counts a rejection; returns the seconds after which the request is likely to be granted.

        :param asked: the request.
        :param rate_per_s: at which the bucket refills.
        :param opens_s: seconds until the bucket is above the level for the request.
        :param now: seconds.
        """
        if not self.is_scarce(now):
            self.scarce_since = now
            self._small = _Class()
            self._large = _Class()
        self._rejected_at = now
        found = self._class_of(asked, now)
        if found is self._large:
            rate_per_s = max(rate_per_s - self.small_per_s(now), MIN_LARGE_PART * rate_per_s)
        return found.place(asked.cost, rate_per_s, opens_s, now)

    def _is_large_due(self, now: float) -> bool:
        guard = BURST_GUARD if now < self.scarce_since + BURST_S else STEADY_GUARD
        return self._large.granted_part(now) < guard * self._small.granted_part(now)

    def _class_of(self, asked: Asked, now: float) -> _Class:
        large = self.is_scarce(now) and is_large(asked.cost, asked.rank, self.mean(now))
        return self._large if large else self._small
