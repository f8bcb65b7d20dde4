"""Circuit breakers of one entry; they act before the control leader decides."""

import dataclasses
from collections import defaultdict

from geraniumrail.core import events as core_events
from geraniumrail.rollout import events
from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.circuit_breaker import CircuitBreaker, Wait
from geraniumrail.rollout.old_version_stats import OldVersionStats, Sample

_MAX_WAITS = 256


@dataclasses.dataclass
class _VersionPair:
    """The two versions of a running move, with the breakers of the new one."""

    old_version: str
    new_version: str
    step: int
    breakers_by_route: dict[str, CircuitBreaker] = dataclasses.field(
        default_factory=lambda: defaultdict(CircuitBreaker),
    )
    old_stats: OldVersionStats = dataclasses.field(default_factory=OldVersionStats)


class EntryBreakers:
    """One breaker for each new version, under the route '', and one for each of its routes."""

    def __init__(self) -> None:
        """Starts without moves; a version without a move is never blocked."""
        self._pairs: dict[str, _VersionPair] = {}

    def set_move(self, service: str, old_version: str, new_version: str, step: int) -> None:
        """Sets the running move of a service.

        A new step makes the breakers half-open that opened during earlier steps.

        :param service: service name.
        :param old_version: version that takes the traffic of a blocked version.
        :param new_version: version that may be blocked.
        :param step: recorded step number.
        """
        pair = self._pairs.get(service)
        if pair is None or (pair.old_version, pair.new_version) != (old_version, new_version):
            self._pairs[service] = _VersionPair(old_version, new_version, step)
            return
        if step <= pair.step:
            return
        pair.step = step
        for route, breaker in pair.breakers_by_route.items():
            if breaker.state == 'open' and breaker.step < step:
                breaker.half_open()
                _log(events.BREAKER_HALF_OPEN, service, new_version, route, breaker)

    def remove_move(self, service: str) -> None:
        """Deletes the state of a move that has ended.

        :param service: service name.
        """
        self._pairs.pop(service, None)

    def blocked(self, service: str, version: str, route: str, now: float) -> bool:
        """Returns whether a request may not be sent to a version.

        A half-open breaker allows single trial requests.

        :param service: service name.
        :param version: version.
        :param route: route name.
        :param now: seconds.
        """
        pair = self._pairs.get(service)
        if pair is None or version != pair.new_version:
            return False
        self._count_overdue(service, pair, route, now)
        breakers = (pair.breakers_by_route[''], pair.breakers_by_route[route])
        if any(breaker.state == 'open' for breaker in breakers):
            return True
        return any([breaker.blocks(now) for breaker in breakers])

    def start_wait(
        self, attempt: str, service: str, version: str, route: str, now: float, band: int = 0
    ) -> None:
        """Starts the wait of an attempt for its first token, so that a stall counts before its end.

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
        waits = pair.breakers_by_route[route].waits
        waits.append((attempt, now, band))
        if len(waits) > _MAX_WAITS:
            waits.popleft()

    def end_wait(self, attempt: str, service: str, route: str) -> None:
        """Ends the wait of an attempt; to be called before `observe`.

        :param attempt: attempt id.
        :param service: service name.
        :param route: route name.
        """
        pair = self._pairs.get(service)
        if pair is not None:
            waits = pair.breakers_by_route[route].waits
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
            pair.old_stats.add(sample, failed, now)
        elif version == pair.new_version:
            slow = pair.old_stats.is_slow(sample, now)
            breaker = pair.breakers_by_route[route]
            if slow and first_token_s is not None and breaker.overdue:
                breaker.overdue -= 1
                slow = None
            for scope in ('', route):
                self._score(service, pair, scope, (failed, slow), now)

    def reports(self) -> tuple[BreakerReport, ...]:
        """Returns the breakers that have opened during their move."""
        return tuple(
            BreakerReport(
                service=service,
                version=pair.new_version,
                route=route,
                state=breaker.state,
                cause=breaker.cause,
                step=breaker.step,
                times=breaker.times,
            )
            for service, pair in self._pairs.items()
            for route, breaker in pair.breakers_by_route.items()
            if breaker.times
        )

    def _score(
        self,
        service: str,
        pair: _VersionPair,
        scope: str,
        outcome: tuple[bool | None, bool | None],
        now: float,
    ) -> None:
        failed, slow = outcome
        breaker = pair.breakers_by_route[scope]
        if breaker.state == 'open':
            return
        if breaker.state == 'half_open':
            if failed is None and not slow:
                return
            breaker.count_trial(bool(failed or slow), pair.step)
            if breaker.state != 'half_open':
                event = (
                    events.BREAKER_CLOSED if breaker.state == 'closed' else events.BREAKER_OPENED
                )
                _log(event, service, pair.new_version, scope, breaker)
            return
        rate = pair.old_stats.error_rate(scope, now)
        causes = (
            (
                'error_rate',
                failed is not None and breaker.add_outcomes(int(failed), int(not failed), rate),
            ),
            ('latency', slow is not None and breaker.add_latency(slow)),
        )
        for cause, opens in causes:
            if opens and breaker.state == 'closed':
                breaker.open(cause, pair.step)
                _log(events.BREAKER_OPENED, service, pair.new_version, scope, breaker, rate)

    def _count_overdue(self, service: str, pair: _VersionPair, route: str, now: float) -> None:
        breaker = pair.breakers_by_route[route]
        if not breaker.waits:
            return
        while breaker.waits and self._is_overdue(pair, route, breaker.waits[0], now):
            breaker.waits.popleft()
            breaker.overdue += 1
            for scope in ('', route):
                self._score(service, pair, scope, (None, True), now)

    def _is_overdue(self, pair: _VersionPair, route: str, wait: Wait, now: float) -> bool:
        _, since, band = wait
        return bool(pair.old_stats.is_slow(Sample(route, band, now - since, None), now))


def _log(
    event: core_events.Event,
    service: str,
    version: str,
    route: str,
    breaker: CircuitBreaker,
    old_error_rate: float | None = None,
) -> None:
    core_events.log(
        event,
        service=service,
        version=version,
        route=route,
        cause=breaker.cause,
        step=breaker.step,
        times=breaker.times,
        error_score=round(breaker.error_score, 2),
        slow_score=round(breaker.slow_score, 2),
        old_error_rate=old_error_rate,
    )
