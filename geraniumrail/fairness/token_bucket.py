"""A token bucket whose rate may change."""

import math


class TokenBucket:
    """Holds up to `burst_s` seconds of the rate; the level can become negative."""

    def __init__(self, burst_s: float) -> None:
        """Starts full.

        :param burst_s: seconds of the rate that may be taken at once.
        """
        self._burst_s = burst_s
        self._level: float | None = None
        self._refilled_at: float = 0

    def wait_s(self, amount: float, rate: float, now: float) -> float:
        """Returns 0 if the amount may be taken now, else seconds until then.

        A larger amount than the burst may be taken when the bucket is full.

        :param amount: units.
        :param rate: units per second.
        :param now: monotonic seconds.
        """
        if math.isinf(rate):
            return 0
        level = self._refill(rate, now)
        missing = min(amount, self._burst_s * rate) - level
        return max(0, missing) / rate if rate > 0 else math.inf

    def take(self, amount: float, rate: float, now: float) -> None:
        """Takes an amount, or puts it back if negative; the level can become negative.

        :param amount: units.
        :param rate: units per second.
        :param now: monotonic seconds.
        """
        if not math.isinf(rate):
            self._level = self._refill(rate, now) - amount

    def _refill(self, rate: float, now: float) -> float:
        full = self._burst_s * rate
        if self._level is None:
            self._level = full
        else:
            self._level = min(full, self._level + rate * (now - self._refilled_at))
        self._refilled_at = now
        return self._level
