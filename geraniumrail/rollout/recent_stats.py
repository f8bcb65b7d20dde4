"""Recent figures of the version that a breaker compares with."""

from collections import Counter, deque

from geraniumrail.rollout import histogram

_LAST = 8
_MIN_SAMPLES = 8
_FRESH_S = 15
_MIN_FRESH = 3
_STALE_FACTOR = 1.2


class RecentErrors:
    """Error rate over the last one to two periods."""

    def __init__(self, period_s: float) -> None:
        """Creates an empty window.

        :param period_s: length of one of the two periods.
        """
        self._period_s = period_s
        self._started = float('-inf')
        self._counts = [0, 0]
        self._previous = [0, 0]

    def add(self, errors: int, now: float, requests: int = 1) -> None:
        """Counts outcomes.

        :param errors: how many failed.
        :param now: seconds.
        :param requests: how many there were.
        """
        self._rotate(now)
        self._counts[0] += requests
        self._counts[1] += errors

    def rate(self, prior_rate: float, prior_samples: float, now: float) -> float:
        """Returns the error rate, smoothed towards a prior.

        :param prior_rate: rate without samples.
        :param prior_samples: weight of the prior.
        :param now: seconds.
        """
        self._rotate(now)
        requests = self._counts[0] + self._previous[0]
        errors = self._counts[1] + self._previous[1]
        return (errors + prior_rate * prior_samples) / (requests + prior_samples)

    def _rotate(self, now: float) -> None:
        age = now - self._started
        if age < self._period_s:
            return
        self._previous = self._counts if age < 2 * self._period_s else [0, 0]
        self._counts = [0, 0]
        self._started = now


class RecentLatency:
    """Latency of one route over the last one to two periods."""

    def __init__(self, period_s: float) -> None:
        """Creates an empty window.

        :param period_s: length of one of the two periods.
        """
        self._period_s = period_s
        self._started = float('-inf')
        self._counts: Counter[int] = Counter()
        self._previous: Counter[int] = Counter()
        self._p90_s: float | None = None

    def add(self, seconds: float, now: float) -> None:
        """Counts one sample.

        :param seconds: latency.
        :param now: seconds.
        """
        self._rotate(now)
        self._counts[histogram.bucket(seconds)] += 1

    def p90_s(self, now: float) -> float | None:
        """Returns the 90th percentile, or None if there never were enough samples.

        :param now: seconds.
        """
        self._rotate(now)
        counts = self._counts + self._previous
        if counts.total() >= _MIN_SAMPLES:
            self._p90_s = histogram.bucket_upper_s(histogram.quantile_bucket(counts, 0.9) or 0)
        return self._p90_s

    def _rotate(self, now: float) -> None:
        age = now - self._started
        if age < self._period_s:
            return
        self._previous = self._counts if age < 2 * self._period_s else Counter()
        self._counts = Counter()
        self._started = now


class Slowdown:
    """How much slower than usual the last samples of all routes were."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._last: deque[tuple[float, float]] = deque(maxlen=_LAST)

    def add(self, ratio: float, now: float) -> None:
        """Counts one sample.

        :param ratio: latency divided by the usual latency of its route.
        :param now: seconds.
        """
        self._last.append((now, ratio))

    def factor(self, now: float) -> float:
        """Returns the present slowdown, at least 1.

        What slows both versions cannot be told from a fault of the new one without fresh samples
        of the old one, so more is tolerated then.

        :param now: seconds.
        """
        fresh = sorted(ratio for at, ratio in self._last if now - at <= _FRESH_S)
        if len(fresh) < _MIN_FRESH:
            return _STALE_FACTOR
        return max(1, fresh[len(fresh) * 3 // 4])
