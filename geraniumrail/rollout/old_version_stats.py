"""Recent figures of the old version at one entry."""

import dataclasses
from collections import defaultdict

from geraniumrail.rollout.load_band import QUEUEING_BAND, between_tokens_band
from geraniumrail.rollout.recent_stats import RecentErrors, RecentLatency, Slowdown

_LONG_S = 60
_SHORT_S = 2
_LATENCY_S = 60
_PRIOR_RATE = 0.005
_PRIOR_SAMPLES = 20
_SLOW_FACTOR = 1.5


@dataclasses.dataclass(frozen=True)
class Sample:
    """Latencies of one request, as far as they are known."""

    route: str
    band: int  # load band of the backend server
    first_token_s: float | None
    between_tokens_s: float | None

    def latencies(self) -> list[tuple[str, float]]:
        """Returns the comparable latencies by key.

        How long requests queue depends on the load of the version, so the time to the first
        token is left out then.
        """
        between_key = f'between {self.route} {between_tokens_band(self.band)}'
        keyed = [(between_key, self.between_tokens_s)]
        if self.band < QUEUEING_BAND:
            keyed.append((f'first {self.route} {self.band}', self.first_token_s))
        return [(key, seconds) for key, seconds in keyed if seconds is not None]


class OldVersionStats:
    """Error rates by route and latencies by route and load band."""

    def __init__(self) -> None:
        """Starts without figures."""
        self._errors: dict[str, tuple[RecentErrors, RecentErrors]] = defaultdict(
            lambda: (RecentErrors(_LONG_S), RecentErrors(_SHORT_S)),
        )
        self._latencies: dict[str, RecentLatency] = defaultdict(lambda: RecentLatency(_LATENCY_S))
        self._slowdowns: dict[str, Slowdown] = defaultdict(Slowdown)

    def add(self, sample: Sample, failed: bool | None, now: float) -> None:
        """Counts one outcome.

        :param sample: its latencies.
        :param failed: whether it failed; None while it has not ended.
        :param now: seconds.
        """
        if failed is not None:
            self.add_outcomes(sample.route, int(failed), 1, now)
        for key, seconds in sample.latencies():
            usual = self._latencies[key].p90_s(now)
            self._latencies[key].add(seconds, now)
            if usual is not None:
                self._slowdowns[_kind(key)].add(seconds / usual, now)

    def add_outcomes(self, route: str, errors: int, requests: int, now: float) -> None:
        """Counts requests that ended.

        :param route: route name.
        :param errors: how many failed.
        :param requests: how many there were.
        :param now: seconds.
        """
        for window in (*self._errors[''], *self._errors[route]):
            window.add(errors, now, requests)

    def error_rate(self, scope: str, now: float) -> float:
        """Returns the error rate over seconds or a minute, whichever is higher.

        :param scope: route, or '' for all routes.
        :param now: seconds.
        """
        windows = (*self._errors[''], *self._errors[scope])
        return max(window.rate(_PRIOR_RATE, _PRIOR_SAMPLES, now) for window in windows)

    def slow(self, sample: Sample, now: float) -> bool | None:
        """Returns whether a latency is above its limit; None if nothing can be compared.

        :param sample: latencies of the new version.
        :param now: seconds.
        """
        limits = [(seconds, self._limit_s(key, now)) for key, seconds in sample.latencies()]
        verdicts = [seconds > limit for seconds, limit in limits if limit is not None]
        return any(verdicts) if verdicts else None

    def _limit_s(self, key: str, now: float) -> float | None:
        usual = self._latencies[key].p90_s(now)
        if usual is None:
            return None
        return _SLOW_FACTOR * usual * self._slowdowns[_kind(key)].factor(now)


def _kind(key: str) -> str:
    return key.split(' ', 1)[0]
