"""Recent error rates and latencies of the old version of a move."""

import dataclasses
from collections import defaultdict

from geraniumrail.rollout.load_band import QUEUEING_BAND, between_tokens_band
from geraniumrail.rollout.recent_stats import RecentErrors, RecentLatency, Slowdown

_LONG_ERROR_PERIOD_S = 60
_SHORT_ERROR_PERIOD_S = 2
_LATENCY_PERIOD_S = 60
_PRIOR_ERROR_RATE = 0.005
_PRIOR_SAMPLES = 20
_SLOW_FACTOR = 1.5  # times the 90th percentile of the old version


@dataclasses.dataclass(frozen=True)
class Sample:
    """The known latencies of one request."""

    route: str
    band: int  # load band of the backend server
    first_token_s: float | None
    between_tokens_s: float | None

    def comparable_latencies(self) -> list[tuple[str, float]]:
        """Returns (key, seconds) of the latencies that can be compared.

        In the queueing band the time to the first token depends on the load of the version, so it
        is left out.
        """
        between_key = f'between {self.route} {between_tokens_band(self.band)}'
        keyed = [(between_key, self.between_tokens_s)]
        if self.band < QUEUEING_BAND:
            keyed.append((f'first {self.route} {self.band}', self.first_token_s))
        return [(key, seconds) for key, seconds in keyed if seconds is not None]


class OldVersionStats:
    """Error rates by route, and latencies by route and load band."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._errors: dict[str, tuple[RecentErrors, RecentErrors]] = defaultdict(
            lambda: (RecentErrors(_LONG_ERROR_PERIOD_S), RecentErrors(_SHORT_ERROR_PERIOD_S)),
        )
        self._latencies: dict[str, RecentLatency] = defaultdict(
            lambda: RecentLatency(_LATENCY_PERIOD_S)
        )
        self._slowdowns: dict[str, Slowdown] = defaultdict(Slowdown)

    def add(self, sample: Sample, failed: bool | None, now: float) -> None:
        """Counts one outcome.

        :param sample: its latencies.
        :param failed: whether it failed; None while it has not ended.
        :param now: seconds.
        """
        if failed is not None:
            self.add_outcomes(sample.route, int(failed), 1, now)
        for key, seconds in sample.comparable_latencies():
            p90_s = self._latencies[key].p90_s(now)
            self._latencies[key].add(seconds, now)
            if p90_s is not None:
                self._slowdowns[_kind(key)].add(seconds / p90_s, now)

    def add_outcomes(self, route: str, errors: int, requests: int, now: float) -> None:
        """Counts requests that ended.

        :param route: route name.
        :param errors: how many failed.
        :param requests: how many ended.
        :param now: seconds.
        """
        for window in (*self._errors[''], *self._errors[route]):
            window.add(errors, now, requests)

    def error_rate(self, scope: str, now: float) -> float:
        """Returns the highest of the error rates over the short and the long period.

        The rates over all routes are included.

        :param scope: route, or '' for all routes.
        :param now: seconds.
        """
        windows = (*self._errors[''], *self._errors[scope])
        return max(window.rate(_PRIOR_ERROR_RATE, _PRIOR_SAMPLES, now) for window in windows)

    def is_slow(self, sample: Sample, now: float) -> bool | None:
        """Returns whether a latency is above its limit; None if nothing can be compared.

        :param sample: latencies of the new version.
        :param now: seconds.
        """
        limits = [
            (seconds, self._limit_s(key, now)) for key, seconds in sample.comparable_latencies()
        ]
        exceeded = [seconds > limit for seconds, limit in limits if limit is not None]
        return any(exceeded) if exceeded else None

    def _limit_s(self, key: str, now: float) -> float | None:
        p90_s = self._latencies[key].p90_s(now)
        if p90_s is None:
            return None
        return _SLOW_FACTOR * p90_s * self._slowdowns[_kind(key)].factor(now)


def _kind(key: str) -> str:
    return key.split(' ', 1)[0]
