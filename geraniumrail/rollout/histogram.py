"""Logarithmic latency buckets; a histogram is a sorted tuple of (bucket, count)."""

import math
from collections import Counter

Histogram = tuple[tuple[int, int], ...]

_LOWEST_S = 0.001
_LOG_GROWTH = math.log(1.15)
_HIGHEST_BUCKET = 95  # about 580 s


def bucket(seconds: float) -> int:
    """Returns the bucket of a latency.

    :param seconds: latency.
    """
    if seconds <= _LOWEST_S:
        return 0
    return min(_HIGHEST_BUCKET, int(math.log(seconds / _LOWEST_S) / _LOG_GROWTH))


def bucket_upper_s(number: int) -> float:
    """Returns the upper bound of a bucket, in seconds.

    :param number: bucket.
    """
    return _LOWEST_S * math.exp((number + 1) * _LOG_GROWTH)


def from_counts(counts: Counter[int]) -> Histogram:
    """Returns the histogram of counts by bucket.

    :param counts: number of samples by bucket.
    """
    return tuple(sorted(counts.items()))


def quantile_bucket(counts: Counter[int] | dict[int, float], quantile: float) -> int | None:
    """Returns the bucket that holds a quantile, or None if there are no samples.

    :param counts: number of samples by bucket.
    :param quantile: 0 to 1.
    """
    remaining = sum(counts.values()) * quantile
    for number in sorted(counts):
        remaining -= counts[number]
        if remaining <= 0:
            return number
    return None
