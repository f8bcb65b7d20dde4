"""Error rates and latencies over recent time windows, which breakers compare with."""

from collections import Counter, deque

from geraniumrail.rollout import histogram

_MIN_P90_SAMPLES = 8
_SLOWDOWN_SAMPLES = 8
_MAX_SLOWDOWN_AGE_S = 15
_MIN_SLOWDOWN_SAMPLES = 3
_DEFAULT_SLOWDOWN = 1.2  # without enough recent samples


class RecentErrors:
    """Error rate over the current period and the one before."""

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

        :param errors: requests that failed.
        :param now: seconds.
        :param requests: all requests that ended.
        """
        self._rotate(now)
        self._counts[0] += requests
        self._counts[1] += errors

    def rate(self, prior_rate: float, prior_samples: float, now: float) -> float:
        """Returns the error rate, smoothed towards a prior.

        :param prior_rate: error rate that is assumed without samples.
        :param prior_samples: weight of the prior, in samples.
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
    """Latency of one route over the current period and the one before."""

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
        """Returns the last known 90th percentile, or None if there never were enough samples.

        :param now: seconds.
        """
        self._rotate(now)
        counts = self._counts + self._previous
        if counts.total() >= _MIN_P90_SAMPLES:
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
    """Ratio of the last latencies of all routes to their usual latencies."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._last: deque[tuple[float, float]] = deque(maxlen=_SLOWDOWN_SAMPLES)

    def add(self, ratio: float, now: float) -> None:
        """Counts one sample.

        :param ratio: latency divided by the 90th percentile of its route.
        :param now: seconds.
        """
        self._last.append((now, ratio))

    def factor(self, now: float) -> float:
        """Returns the current slowdown, at least 1.

        Without fresh samples of the old version, a slowdown of both versions looks like a fault
        of the new one, so a fixed slowdown is assumed.

        :param now: seconds.
        """
        fresh = sorted(ratio for at, ratio in self._last if now - at <= _MAX_SLOWDOWN_AGE_S)
        if len(fresh) < _MIN_SLOWDOWN_SAMPLES:
            return _DEFAULT_SLOWDOWN
        return max(1, fresh[len(fresh) * 3 // 4])
