"""Stops a failing or slow version at one entry before the control leader decides."""

import dataclasses
from collections import defaultdict

from geraniumrail.core import events as core_events
from geraniumrail.rollout import events
from geraniumrail.rollout.breaker_cell import BreakerCell
from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.recent import RecentErrors, RecentLatency, Slowdown

_LONG_S = 60
_SHORT_S = 2
_LATENCY_S = 60
_PRIOR_RATE = 0.005
_PRIOR_SAMPLES = 20
_SLOW_FACTOR = 1.5
_MAX_WAITS = 256


class _OldErrors:
    def __init__(self) -> None:
        self._windows = (RecentErrors(_LONG_S), RecentErrors(_SHORT_S))

    def add(self, failed: bool, now: float) -> None:
        for window in self._windows:
            window.add(failed, now)

    def rate(self, now: float) -> float:
        return max(window.rate(_PRIOR_RATE, _PRIOR_SAMPLES, now) for window in self._windows)


class _OldLatency:
    def __init__(self) -> None:
        self._routes: dict[str, RecentLatency] = defaultdict(lambda: RecentLatency(_LATENCY_S))
        self._slowdown = Slowdown()

    def add(self, route: str, seconds: float, now: float) -> None:
        usual = self._routes[route].usual_s(now)
        self._routes[route].add(seconds, now)
        if usual is not None:
            self._slowdown.add(seconds / usual, now)

    def limit_s(self, route: str, now: float) -> float | None:
        usual = self._routes[route].usual_s(now)
        factor = self._slowdown.factor(now)
        return None if usual is None or factor is None else _SLOW_FACTOR * usual * factor


class _OldFigures:
    """Recent figures of the old version at this entry."""

    def __init__(self) -> None:
        self._errors: dict[str, _OldErrors] = defaultdict(_OldErrors)
        self._latency = {'first_token': _OldLatency(), 'between_tokens': _OldLatency()}

    def add(
        self, route: str, failed: bool | None, latencies: dict[str, float | None], now: float
    ) -> None:
        scopes = () if failed is None else ('', route)
        for scope in scopes:
            self._errors[scope].add(bool(failed), now)
        for name, seconds in latencies.items():
            if seconds is not None:
                self._latency[name].add(route, seconds, now)

    def error_rate(self, scope: str, now: float) -> float:
        return max(self._errors[''].rate(now), self._errors[scope].rate(now))

    def limit_s(self, name: str, route: str, now: float) -> float | None:
        return self._latency[name].limit_s(route, now)

    def slow(self, route: str, latencies: dict[str, float | None], now: float) -> bool | None:
        """Returns whether a latency is above its limit; None if nothing can be compared."""
        pairs = [
            (seconds, self.limit_s(name, route, now))
            for name, seconds in latencies.items()
            if seconds is not None
        ]
        verdicts = [seconds > limit for seconds, limit in pairs if limit is not None]
        return any(verdicts) if verdicts else None


@dataclasses.dataclass
class _Pair:
    """The two versions of a running move."""

    old_version: str
    new_version: str
    step: int
    cells: dict[str, BreakerCell] = dataclasses.field(
        default_factory=lambda: defaultdict(BreakerCell),
    )
    old: _OldFigures = dataclasses.field(default_factory=_OldFigures)


class Breaker:
    """Breakers of one entry: one for each new version and one for each of its routes."""

    def __init__(self) -> None:
        """Starts without moves; versions without a move are never blocked."""
        self._pairs: dict[str, _Pair] = {}

    def follow(self, service: str, old_version: str, new_version: str, step: int) -> None:
        """Tells which move runs; a new step lets breakers of earlier steps try again.

        :param service: service name.
        :param old_version: version that takes the traffic of a blocked version.
        :param new_version: version that may be blocked.
        :param step: step number as recorded.
        """
        pair = self._pairs.get(service)
        if pair is None or (pair.old_version, pair.new_version) != (old_version, new_version):
            self._pairs[service] = _Pair(old_version, new_version, step)
            return
        if step <= pair.step:
            return
        pair.step = step
        for route, cell in pair.cells.items():
            if cell.state == 'open' and cell.step < step:
                cell.half_open()
                _log(events.BREAKER_HALF_OPEN, service, new_version, route, cell)

    def forget(self, service: str) -> None:
        """Drops the state of a move that has ended.

        :param service: service name.
        """
        self._pairs.pop(service, None)

    def blocked(self, service: str, version: str, route: str, now: float) -> bool:
        """Returns whether a request may not be sent to a version; half-open grants one trial.

        :param service: service name.
        :param version: version.
        :param route: route name.
        :param now: seconds.
        """
        pair = self._pairs.get(service)
        if pair is None or version != pair.new_version:
            return False
        self._count_overdue(service, pair, route, now)
        cells = (pair.cells[''], pair.cells[route])
        if any(cell.state == 'open' for cell in cells):
            return True
        return any([cell.blocks(now) for cell in cells])

    def waiting(self, attempt: str, service: str, version: str, route: str, now: float) -> None:
        """Notes that an attempt waits for its first token, so that a stall counts early.

        :param attempt: attempt id.
        :param service: service name.
        :param version: version.
        :param route: route name.
        :param now: seconds.
        """
        pair = self._pairs.get(service)
        if pair is None or version != pair.new_version:
            return
        waits = pair.cells[route].waits
        waits.append((attempt, now))
        if len(waits) > _MAX_WAITS:
            waits.popleft()

    def answered(self, attempt: str, service: str, route: str) -> None:
        """Notes that an attempt no longer waits; call it before `observe`.

        :param attempt: attempt id.
        :param service: service name.
        :param route: route name.
        """
        pair = self._pairs.get(service)
        if pair is not None:
            waits = pair.cells[route].waits
            for wait in tuple(waits):
                if wait[0] == attempt:
                    waits.remove(wait)

    def observe(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool | None,
        first_token_s: float | None,
        between_tokens_s: float | None,
        now: float,
    ) -> None:
        """Counts one outcome; may be called in parts, as soon as each part is known.

        :param service: service name.
        :param version: version.
        :param route: route name.
        :param failed: whether the request failed; None while it has not ended.
        :param first_token_s: seconds to the first token, if known.
        :param between_tokens_s: mean seconds between tokens, if known.
        :param now: seconds.
        """
        pair = self._pairs.get(service)
        if pair is None:
            return
        latencies = {'first_token': first_token_s, 'between_tokens': between_tokens_s}
        if version == pair.old_version:
            pair.old.add(route, failed, latencies, now)
        elif version == pair.new_version:
            slow = pair.old.slow(route, latencies, now)
            cell = pair.cells[route]
            if slow and first_token_s is not None and cell.early_slow:
                cell.early_slow -= 1
                slow = None
            for scope in ('', route):
                self._score(service, pair, scope, (failed, slow), now)

    def reports(self) -> tuple[BreakerReport, ...]:
        """Returns the breakers that are not closed or have been open during this move."""
        return tuple(
            BreakerReport(
                service=service,
                version=pair.new_version,
                route=route,
                state=cell.state,
                cause=cell.cause,
                step=cell.step,
                times=cell.times,
            )
            for service, pair in self._pairs.items()
            for route, cell in pair.cells.items()
            if cell.times
        )

    def _score(
        self,
        service: str,
        pair: _Pair,
        scope: str,
        outcome: tuple[bool | None, bool | None],
        now: float,
    ) -> None:
        failed, slow = outcome
        cell = pair.cells[scope]
        if cell.state == 'open':
            return
        if cell.state == 'half_open':
            if failed is None and not slow:
                return
            cell.count_trial(bool(failed or slow), pair.step)
            if cell.state != 'half_open':
                event = events.BREAKER_CLOSED if cell.state == 'closed' else events.BREAKER_OPENED
                _log(event, service, pair.new_version, scope, cell)
            return
        rate = pair.old.error_rate(scope, now)
        causes = (
            ('error_rate', failed is not None and cell.add_error(bool(failed), rate)),
            ('latency', slow is not None and cell.add_latency(slow)),
        )
        for cause, opens in causes:
            if opens and cell.state == 'closed':
                cell.open(cause, pair.step)
                _log(events.BREAKER_OPENED, service, pair.new_version, scope, cell, rate)

    def _count_overdue(self, service: str, pair: _Pair, route: str, now: float) -> None:
        cell = pair.cells[route]
        if not cell.waits:
            return
        limit = pair.old.limit_s('first_token', route, now)
        while limit is not None and cell.waits and now - cell.waits[0][1] > limit:
            cell.waits.popleft()
            cell.early_slow += 1
            for scope in ('', route):
                self._score(service, pair, scope, (None, True), now)


def _log(
    event: core_events.Event,
    service: str,
    version: str,
    route: str,
    cell: BreakerCell,
    old_error_rate: float | None = None,
) -> None:
    core_events.log(
        event,
        service=service,
        version=version,
        route=route,
        cause=cell.cause,
        step=cell.step,
        times=cell.times,
        error_score=round(cell.error_score, 2),
        slow_score=round(cell.slow_score, 2),
        old_error_rate=old_error_rate,
    )
