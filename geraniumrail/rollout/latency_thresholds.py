"""Thresholds for slow samples, from earlier latencies of the old version."""

from collections import Counter, defaultdict

from geraniumrail.rollout import histogram

_SLOW_QUANTILE = 0.9
_MIN_SAMPLES = 20
_MAX_HISTORY_SAMPLES = 100  # added to a window; few, so that errors in them have little effect
_MIN_HISTORY_SAMPLES = 80
_MAX_SAMPLES = 400  # above this, older samples are given less weight


class LatencyThresholds:
    """Thresholds by key.

    Samples count only after `refresh`, so a window never affects its own thresholds.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        self._samples: dict[str, Counter[int]] = defaultdict(Counter)
        self._pending: dict[str, Counter[int]] = defaultdict(Counter)
        self._thresholds: dict[str, int] = {}

    def add(self, key: str, counts: histogram.Histogram) -> None:
        """Adds samples of the old version, to be used from the next `refresh`.

        :param key: signal and route.
        :param counts: latency histogram.
        """
        self._pending[key].update(dict(counts))

    def threshold(self, key: str) -> int | None:
        """Returns the highest bucket that is not slow, or None if there are too few samples.

        :param key: signal and route.
        """
        return self._thresholds.get(key)

    def history(self, key: str) -> tuple[int, int]:
        """Returns (slow, total) of the earlier samples; (0, 0) if there are too few.

        :param key: signal and route.
        """
        samples = self._samples.get(key)
        if samples is None or samples.total() < _MIN_HISTORY_SAMPLES:
            return (0, 0)
        total = samples.total()
        slow = sum(count for number, count in samples.items() if number > self._thresholds[key])
        size = min(_MAX_HISTORY_SAMPLES, int(total))
        return (round(slow / total * size), size)

    def is_refresh_due(self) -> bool:
        """Returns whether a key has enough samples for its first threshold."""
        return any(
            key not in self._thresholds and counts.total() >= _MIN_SAMPLES
            for key, counts in self._pending.items()
        )

    def refresh(self) -> None:
        """Adds the pending samples and recalculates the thresholds."""
        for key, counts in self._pending.items():
            samples = self._samples[key]
            samples.update(counts)
            decay = max(1, samples.total() / _MAX_SAMPLES)
            for number in samples:
                samples[number] /= decay
            if samples.total() >= _MIN_SAMPLES or key in self._thresholds:
                self._thresholds[key] = histogram.quantile_bucket(samples, _SLOW_QUANTILE) or 0
        self._pending.clear()
