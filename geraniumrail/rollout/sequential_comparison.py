"""Sequential comparison of two versions that stays valid when it is looked at often."""

import functools
import math
from collections import defaultdict
from collections.abc import Iterator

from geraniumrail.rollout import likelihood_ratio
from geraniumrail.rollout.e_process import EProcess, log_sum_exp
from geraniumrail.rollout.evidence import Evidence
from geraniumrail.rollout.excess import Excess
from geraniumrail.rollout.latency_thresholds import LatencyThresholds
from geraniumrail.rollout.load_band import QUEUEING_BAND, between_tokens_band
from geraniumrail.rollout.outcome_stat import OutcomeStat
from geraniumrail.rollout.strata import Cell, Strata

SIGNALS = ('error_rate', 'first_token', 'between_tokens')

# The first ratio of the odds of a bad outcome is tolerated, the others are tested.
_RATIOS_BY_SIGNAL = {
    'error_rate': (1.5, 4, 30, 400),
    'first_token': (3, 8, 24, 100),
    'between_tokens': (3, 8, 24, 100),
}
_MIN_WINDOW_S = 2
_MAX_WINDOW_S = 60
_WINDOW_SAMPLES = 30  # of each version, after which a window is closed
_ALL = ''

_Key = tuple[str, str]


class SequentialComparison:
    """Tests errors and latency of a new version against the old one over the same minutes.

    Strata are route, organisation and load band. A threshold for slow samples is a quantile of
    earlier samples of the old version, so it does not depend on the window that it judges.
    """

    def __init__(self, old_version: str, new_version: str) -> None:
        """Starts without evidence.

        :param old_version: version to compare with.
        :param new_version: version on trial.
        """
        self._versions = (old_version, new_version)
        self._routes: set[str] = set()
        self._reference = LatencyThresholds()
        self._excess: dict[_Key, Excess] = defaultdict(Excess)
        self._mixtures: dict[_Key, list[EProcess]] = defaultdict(
            lambda: [EProcess() for _ in _RATIOS_BY_SIGNAL['error_rate'][1:]],
        )
        self._opened_at: float | None = None
        self._sizes = [0, 0]
        self._strata = {signal: Strata() for signal in SIGNALS}

    def observe(self, stat: OutcomeStat) -> None:
        """Counts outcomes of either version; others are ignored.

        :param stat: counts of one second.
        """
        if stat.version not in self._versions:
            return
        is_new = stat.version == self._versions[1]
        self._sizes[is_new] += stat.requests
        self._routes.add(stat.route)
        stratum = (stat.route, stat.organisation, 0)
        self._strata['error_rate'].add(stratum, is_new, stat.requests, stat.errors)
        latencies = [
            ('between_tokens', between_tokens_band(stat.load_band), stat.between_tokens_counts),
        ]
        if stat.load_band < QUEUEING_BAND:
            # How long requests queue depends on the load of the version.
            latencies.append(('first_token', stat.load_band, stat.first_token_counts))
        for signal, band, counts in latencies:
            stratum = (stat.route, stat.organisation, band)
            key = f'{signal} {stat.route} {band}'
            threshold = self._reference.threshold(key)
            if threshold is not None:
                total = sum(count for _, count in counts)
                slow = sum(count for number, count in counts if number > threshold)
                self._strata[signal].add(stratum, is_new, total, slow)
            if not is_new:
                self._reference.add(key, counts)

    def look(self, now: float) -> Evidence:
        """Returns the strongest evidence so far and closes the window if it is large enough.

        :param now: seconds.
        """
        increments = self._increments()
        strongest = max(
            (self._evidence(signal, increments) for signal in SIGNALS),
            key=lambda evidence: evidence.log_e,
        )
        if self._opened_at is None:
            self._opened_at = now
        age = now - self._opened_at
        full = min(self._sizes) >= _WINDOW_SAMPLES or self._reference.is_due()
        if age >= _MAX_WINDOW_S or (full and age >= _MIN_WINDOW_S):
            self.close()
        return strongest

    def close(self) -> None:
        """Closes the window; to be called when the share changes."""
        for name in SIGNALS:
            self._excess.update(
                {(name, route): found for route, found in self.excess(name).items()}
            )
        for key, logs in self._increments().items():
            for mixture, log_increment in zip(self._mixtures[key], logs, strict=True):
                mixture.close(log_increment)
        self._reference.refresh()
        self._strata = {signal: Strata() for signal in SIGNALS}
        self._sizes = [0, 0]
        self._opened_at = None

    def excess(self, signal: str) -> dict[str, Excess]:
        """Returns the excess of bad outcomes by route, and under '' for all routes.

        :param signal: error_rate, first_token or between_tokens.
        """
        totals = {route: self._excess[signal, route] for route in (_ALL, *sorted(self._routes))}
        for name, cell in self._paired(signal):
            for scope in (_ALL, name):
                totals[scope] = totals[scope].plus(*cell.counts)
        return totals

    def _paired(self, signal: str) -> Iterator[tuple[str, Cell]]:
        """Yields the cells of the open window.

        Under the full share the old version is less loaded than the new one, so its earlier
        samples under the same load stand in. Errors are compared over the same minutes only.
        """
        if signal == 'error_rate':
            return self._strata[signal].paired()
        return self._strata[signal].paired(functools.partial(self._history, signal))

    def _history(self, signal: str, route: str, band: int) -> tuple[int, int]:
        return self._reference.history(f'{signal} {route} {band}')

    def _increments(self) -> dict[_Key, list[float]]:
        """Returns the log evidence of the open window by signal and route, for each ratio."""
        increments = {
            (signal, route): [0 for _ in _RATIOS_BY_SIGNAL[signal][1:]]
            for signal in SIGNALS
            for route in (_ALL, *sorted(self._routes))
        }
        for signal in SIGNALS:
            for name, cell in self._paired(signal):
                if not cell.is_informative:
                    continue
                logs = likelihood_ratio.log_likelihood_ratios(
                    *cell.counts, _RATIOS_BY_SIGNAL[signal]
                )
                for scope in (_ALL, name):
                    before = increments[signal, scope]
                    increments[signal, scope] = [
                        sum(pair) for pair in zip(before, logs, strict=True)
                    ]
        return increments

    def _evidence(self, signal: str, increments: dict[_Key, list[float]]) -> Evidence:
        """Mixes the hypotheses: half for all routes together, half for single routes."""
        log_by_scope = {}
        for scope in (*sorted(self._routes), _ALL):
            key = (signal, scope)
            pairs = zip(self._mixtures[key], increments[key], strict=True)
            processes = [mixture.after(log_increment) for mixture, log_increment in pairs]
            log_by_scope[scope] = log_sum_exp(processes) - math.log(len(processes))
        log_routes = math.log(max(1, len(self._routes)))
        mixed = [log_e - (log_routes if name else 0) for name, log_e in log_by_scope.items()]
        # A fault on one route gives all routes together the same evidence; the route is named.
        strongest = max(log_by_scope, key=lambda name: round(log_by_scope[name], 6))
        return Evidence(signal, strongest, log_sum_exp(mixed) - math.log(2))
