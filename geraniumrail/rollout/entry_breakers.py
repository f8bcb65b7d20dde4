"""Stops a failing or slow version at one entry before the control leader decides."""

import dataclasses
from collections import defaultdict

from geraniumrail.core import events as core_events
from geraniumrail.rollout import events
from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.circuit_breaker import CircuitBreaker, Wait
from geraniumrail.rollout.old_version_stats import OldVersionStats, Sample

_MAX_WAITS = 256


@dataclasses.dataclass
class _Pair:
    """The two versions of a running move."""

    old_version: str
    new_version: str
    step: int
    cells: dict[str, CircuitBreaker] = dataclasses.field(
        default_factory=lambda: defaultdict(CircuitBreaker),
    )
    old: OldVersionStats = dataclasses.field(default_factory=OldVersionStats)


class EntryBreakers:
    """Breakers of one entry: one for each new version and one for each of its routes."""

    def __init__(self) -> None:
        """Starts without moves; versions without a move are never blocked."""
        self._pairs: dict[str, _Pair] = {}

    def set_move(self, service: str, old_version: str, new_version: str, step: int) -> None:
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

    def remove_move(self, service: str) -> None:
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

    def start_wait(
        self, attempt: str, service: str, version: str, route: str, now: float, band: int = 0
    ) -> None:
        """Notes that an attempt waits for its first token, so that a stall counts early.

        :param attempt: attempt id.
        :param service: service name.
        :param version: version.
        :param route: route name.
        :param now: seconds.
        :param band: `load_band` of the backend server.
        """
        pair = self._pairs.get(service)
        if pair is None or version != pair.new_version:
            return
        waits = pair.cells[route].waits
        waits.append((attempt, now, band))
        if len(waits) > _MAX_WAITS:
            waits.popleft()

    def end_wait(self, attempt: str, service: str, route: str) -> None:
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
        band: int = 0,
    ) -> None:
        """Counts one outcome; may be called in parts, as soon as each part is known.

        :param service: service name.
        :param version: version.
        :param route: route name.
        :param failed: whether the request failed; None while it has not ended.
        :param first_token_s: seconds to the first token, if known.
        :param between_tokens_s: mean seconds between tokens, if known.
        :param now: seconds.
        :param band: `load_band` of the backend server when the request was sent.
        """
        pair = self._pairs.get(service)
        if pair is None:
            return
        sample = Sample(route, band, first_token_s, between_tokens_s)
        if version == pair.old_version:
            pair.old.add(sample, failed, now)
        elif version == pair.new_version:
            slow = pair.old.slow(sample, now)
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
            (
                'error_rate',
                failed is not None and cell.add_outcomes(int(failed), int(not failed), rate),
            ),
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
        while cell.waits and self._is_overdue(pair, route, cell.waits[0], now):
            cell.waits.popleft()
            cell.early_slow += 1
            for scope in ('', route):
                self._score(service, pair, scope, (None, True), now)

    def _is_overdue(self, pair: _Pair, route: str, wait: Wait, now: float) -> bool:
        _, since, band = wait
        return bool(pair.old.slow(Sample(route, band, now - since, None), now))


def _log(
    event: core_events.Event,
    service: str,
    version: str,
    route: str,
    cell: CircuitBreaker,
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
