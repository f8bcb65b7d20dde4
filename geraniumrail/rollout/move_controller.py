"""Decides the steps and the end of one version move."""

import math
import types
from collections.abc import Iterable

from geraniumrail.core import events as core_events
from geraniumrail.rollout import events
from geraniumrail.rollout.breaker_panel import BreakerPanel
from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.end_reason import Ending, EndReason
from geraniumrail.rollout.evidence import Evidence
from geraniumrail.rollout.move_end import MoveEnd
from geraniumrail.rollout.move_order import MoveOrder
from geraniumrail.rollout.move_step import MoveStep
from geraniumrail.rollout.outcome_stat import OutcomeStat
from geraniumrail.rollout.sequential import SIGNALS, Sequential

_ALPHA = 0.002  # chance of taking a good move back, for each signal
_END_LOG_E = math.log(1 / _ALPHA)
_HOLD_LOG_E = _END_LOG_E / 2
_MIN_SAMPLES = 16  # of the new version before its share may exceed the canary share
_MAX_GROWTH = 4
_MIN_DWELL_S = 5
_MIN_FULL_SAMPLES = 20
_HARM_BY_SIGNAL = types.MappingProxyType(
    {'error_rate': 1, 'first_token': 0.25, 'between_tokens': 0.25},
)
_UNKNOWN_EXCESS = 0.001  # for services that report no latency


class MoveController:
    """Judges one move. Objects hold evidence only; what is recorded is passed in.

    `decide` repeats a step until `recorded` confirms it, and repeats an end for good, so that a
    lost proposal is sent again.
    """

    def __init__(self, order: MoveOrder, step: MoveStep, step_at: float, now: float) -> None:
        """Use `from_start` or `resume`.

        :param order: the move.
        :param step: last recorded step.
        :param step_at: when it was recorded, wall seconds.
        :param now: wall seconds.
        """
        self.order = order
        self.step = step
        self.end: MoveEnd | None = None
        self._step_at = step_at
        self._begun_at = now
        self._sequential = Sequential(order.from_version, order.to_version)
        self._samples = 0
        self._pending: MoveStep | None = None
        self._breakers = BreakerPanel(order.service, order.to_version)
        self._held = False

    @classmethod
    def from_start(cls, order: MoveOrder, now: float) -> 'MoveController':
        """Starts a move; the first decision is the canary step.

        :param order: the move.
        :param now: wall seconds.
        """
        step = MoveStep(move_id=order.move_id, step=0, share=0, reason='start')
        return cls(order, step, now, now)

    @classmethod
    def resume(
        cls, order: MoveOrder, step: int, share: float, step_at: float, now: float
    ) -> 'MoveController':
        """Continues a move after a change of control leader; evidence starts again.

        :param order: the move.
        :param step: last recorded step number.
        :param share: its share.
        :param step_at: when it was recorded, wall seconds.
        :param now: wall seconds.
        """
        recorded = MoveStep(move_id=order.move_id, step=step, share=share, reason='resumed')
        core_events.log(events.MOVE_RESUMED, move=order.move_id, step=step, share=share)
        return cls(order, recorded, step_at, now)

    def observe(
        self,
        stats: Iterable[OutcomeStat],
        breakers: Iterable[BreakerReport] = (),
        entry: str = '',
        now: float = 0,
    ) -> None:
        """Takes the report of one entry.

        :param stats: outcomes since the last report.
        :param breakers: breakers of the entry that have opened during this move.
        :param entry: name of the entry.
        :param now: wall seconds.
        """
        for stat in stats:
            if stat.service == self.order.service:
                self._sequential.observe(stat)
                if stat.version == self.order.to_version:
                    self._samples += stat.requests
        self._breakers.observe(entry, breakers, now)

    def recorded(self, step: MoveStep, now: float) -> None:
        """Confirms that a step is in the log.

        :param step: the recorded step.
        :param now: wall seconds.
        """
        if step.step <= self.step.step:
            return
        if step.share != self.step.share:
            self._sequential.close()
            self._samples = 0
            self._step_at = now
        self.step = step
        self._pending = None

    def cancel(self, operator: str) -> None:
        """Ends the move at the wish of an operator, unless it has ended.

        :param operator: who asked.
        """
        if self.end is None:
            self._finish(Ending.cancelled, EndReason.operator, f'cancelled by {operator}')

    def decide(self, now: float) -> MoveStep | MoveEnd | None:
        """Returns what to record next, if anything.

        :param now: wall seconds.
        """
        if self.end is not None:
            return self.end
        evidence = self._sequential.look(now)
        self._judge(evidence, now)
        if self.end is not None:
            return self.end
        if self._pending is None:
            self._pending = self._next_step(evidence, now)
            if self._pending is not None:
                self._log_step(self._pending, evidence)
        return self._pending

    def _judge(self, evidence: Evidence, now: float) -> None:
        if evidence.log_e >= _END_LOG_E:
            slow = evidence.signal != 'error_rate'
            reason = EndReason.latency if slow else EndReason.error_rate
            self._finish(Ending.taken_back, reason, str(evidence))
        elif self._breakers.condemns(evidence.log_e):
            self._finish(Ending.taken_back, EndReason.breaker, str(self._breakers))
        elif self._is_proven(evidence, now):
            detail = f'samples={self._samples} {evidence}'
            self._finish(Ending.done, EndReason.evidence, detail)
        elif now >= self.order.deadline:
            detail = f'share={self.step.share:.3f} samples={self._samples} {evidence}'
            self._finish(Ending.taken_back, EndReason.deadline, detail)

    def _is_proven(self, evidence: Evidence, now: float) -> bool:
        watched_s = self.order.watch_duration_s
        if self.step.share < self.order.full_share or self._samples < _MIN_FULL_SAMPLES:
            return False
        # After a change of leader the evidence is fresh, so some of it must be new as well.
        is_watched = now >= max(self._step_at + watched_s, self._begun_at + min(watched_s, 10))
        return is_watched and not self._signs_of_fault(evidence)

    def _next_step(self, evidence: Evidence, now: float) -> MoveStep | None:
        if not self.step.share:
            return self._make_step(self.order.unproven_share, 'canary')
        if self._breakers.trial_is_due(self.step.step, now):
            return self._make_step(self.step.share, 'try open breakers again')
        if self._signs_of_fault(evidence):
            if not self._held:
                core_events.log(events.MOVE_HELD, move=self.order.move_id, evidence=str(evidence))
            self._held = True
            return None
        self._held = False
        share = self._share_by_evidence()
        if now - self._step_at < _MIN_DWELL_S or self.step.share >= self.order.full_share:
            return None
        # Steps below a quarter of the present share cost a log entry and teach little.
        if share < self.order.full_share and share < self.step.share * 1.25:
            return None
        return self._make_step(share, 'evidence')

    def _share_by_evidence(self) -> float:
        """Returns the share at which the harm not yet ruled out equals that of the canary."""
        if self._sequential.excess('error_rate')[''].samples < _MIN_SAMPLES:
            return self.order.unproven_share
        harm = max(_HARM_BY_SIGNAL[signal] * self._worst_excess(signal) for signal in SIGNALS)
        share = self.order.unproven_share / harm
        return min(share, self.step.share * _MAX_GROWTH, self.order.full_share)

    def _worst_excess(self, signal: str) -> float:
        """Returns the excess not ruled out if the fault is on all routes or on a single one."""
        by_route = self._sequential.excess(signal)
        samples = by_route[''].samples
        if not samples:
            return _UNKNOWN_EXCESS
        return max(excess.upper_share() * excess.samples / samples for excess in by_route.values())

    def _signs_of_fault(self, evidence: Evidence) -> bool:
        return evidence.log_e >= _HOLD_LOG_E or not self._breakers.all_closed()

    def _make_step(self, share: float, reason: str) -> MoveStep:
        return MoveStep(
            move_id=self.order.move_id, step=self.step.step + 1, share=share, reason=reason
        )

    def _finish(self, ending: Ending, reason: EndReason, detail: str) -> None:
        self.end = MoveEnd(move_id=self.order.move_id, end=ending, reason=reason, detail=detail)
        core_events.log(
            events.MOVE_ENDED,
            move=self.order.move_id,
            end=ending.value,
            reason=reason.value,
            share=self.step.share,
            detail=detail,
        )

    def _log_step(self, step: MoveStep, evidence: Evidence) -> None:
        core_events.log(
            events.MOVE_STEPPED,
            move=step.move_id,
            step=step.step,
            share=round(step.share, 4),
            reason=step.reason,
            samples=self._samples,
            evidence=str(evidence),
        )
