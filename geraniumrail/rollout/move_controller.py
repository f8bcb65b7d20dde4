"""Decides the steps and the end of one version move."""

import math
from collections.abc import Iterable

from geraniumrail.core import events as core_events
from geraniumrail.rollout import events
from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.end_reason import EndPhase, EndReason
from geraniumrail.rollout.evidence import Evidence
from geraniumrail.rollout.failure_alarm import FailureAlarm
from geraniumrail.rollout.move_end import MoveEnd
from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.move_step import MoveStep
from geraniumrail.rollout.next_share import next_share, reduced_share
from geraniumrail.rollout.outcome_stat import OutcomeStat
from geraniumrail.rollout.reported_breakers import ReportedBreakers
from geraniumrail.rollout.sequential_comparison import SequentialComparison

_ALPHA = 0.005  # probability of rolling back a good version, for each signal
_ROLLBACK_LOG_E = math.log(1 / _ALPHA)
_HOLD_LOG_E = _ROLLBACK_LOG_E * 0.7  # a lower threshold would hold one good move in ten
_MIN_WATCH_SAMPLES = 20
_MIN_RESUMED_WATCH_S = 10
_MAX_PROVEN_EXCESS = 0.02  # excess error share on a route; above it, the watch is longer
_MAX_WATCH_FACTOR = 3
_DEADLINE_MARGIN_FRACTION = 0.05  # of the time to the deadline, left for trials of open breakers


class MoveController:
    """Decides about one move. It holds only evidence; recorded steps are passed in.

    `decide` returns the same step until `confirm_step`, and the same end from then on, so that a
    lost proposal is repeated.
    """

    def __init__(self, spec: MoveSpec, step: MoveStep, stepped_at: float, now: float) -> None:
        """Starts without evidence; to be called by `from_start` and `resume`.

        :param spec: the move.
        :param step: last recorded step.
        :param stepped_at: when it was recorded, wall seconds.
        :param now: wall seconds.
        """
        self.spec = spec
        self.step = step
        self.end: MoveEnd | None = None
        self._share_set_at = stepped_at
        self._evidence_since = now
        self._now = now
        self._comparison = SequentialComparison(spec.from_version, spec.to_version)
        self._alarm = FailureAlarm(spec.from_version, spec.to_version)
        self._samples = 0
        self._pending: MoveStep | None = None
        self._breakers = ReportedBreakers(spec.service, spec.to_version)
        self._held = False

    @classmethod
    def from_start(cls, spec: MoveSpec, now: float) -> 'MoveController':
        """Starts a move; the first decision is the canary step.

        :param spec: the move.
        :param now: wall seconds.
        """
        step = MoveStep(move_id=spec.move_id, step=0, share=0, reason='start')
        return cls(spec, step, now, now)

    @classmethod
    def resume(
        cls, spec: MoveSpec, step: int, share: float, stepped_at: float, now: float
    ) -> 'MoveController':
        """Continues a move after a change of control leader; evidence starts from zero.

        :param spec: the move.
        :param step: last recorded step number.
        :param share: its share.
        :param stepped_at: when it was recorded, wall seconds.
        :param now: wall seconds.
        """
        recorded = MoveStep(move_id=spec.move_id, step=step, share=share, reason='resumed')
        core_events.log(events.MOVE_RESUMED, move=spec.move_id, step=step, share=share)
        return cls(spec, recorded, stepped_at, now)

    def observe(
        self,
        stats: Iterable[OutcomeStat],
        breakers: Iterable[BreakerReport] = (),
        entry: str = '',
        now: float | None = None,
    ) -> None:
        """Adds the report of one entry.

        :param stats: outcomes since the last report.
        :param breakers: breakers of the entry that have opened during this move.
        :param entry: name of the entry.
        :param now: wall seconds; by default the time of the last decision.
        """
        now = self._now if now is None else now
        for stat in stats:
            if stat.service == self.spec.service:
                self._comparison.observe(stat)
                self._alarm.observe(stat, now)
                if stat.version == self.spec.to_version:
                    self._samples += stat.requests
        self._breakers.observe(entry, breakers, now)

    def confirm_step(self, step: MoveStep, now: float) -> None:
        """Confirms that a step is in the replicated log.

        :param step: the recorded step.
        :param now: wall seconds.
        """
        if step.step <= self.step.step:
            return
        if step.share != self.step.share:
            self._comparison.close_window()
            self._samples = 0
            self._share_set_at = now
        self.step = step
        self._pending = None

    def cancel(self, operator: str) -> None:
        """Ends the move for an operator, unless it has already ended.

        :param operator: operator that cancelled it.
        """
        if self.end is None:
            self._finish(EndPhase.cancelled, EndReason.operator, f'cancelled by {operator}')

    def decide(self, now: float) -> MoveStep | MoveEnd | None:
        """Returns the step or end that is to be recorded, if any.

        :param now: wall seconds.
        """
        self._now = now
        if self.end is not None:
            return self.end
        self._breakers.expire(now)
        evidence = self._comparison.evaluate(now)
        self._check_end(evidence, now)
        if self.end is not None:
            return self.end
        if self._pending is None:
            self._pending = self._next_step(evidence, now)
            if self._pending is not None:
                self._log_step(self._pending, evidence)
        return self._pending

    def _check_end(self, evidence: Evidence, now: float) -> None:
        if evidence.log_e >= _ROLLBACK_LOG_E:
            is_slow = evidence.signal != 'error_rate'
            reason = EndReason.latency if is_slow else EndReason.error_rate
            self._finish(EndPhase.taken_back, reason, str(evidence))
        elif self._breakers.requires_rollback(evidence.log_e):
            self._finish(EndPhase.taken_back, EndReason.breaker, str(self._breakers))
        elif self._is_proven(evidence, now):
            detail = f'samples={self._samples} {evidence}'
            self._finish(EndPhase.done, EndReason.evidence, detail)
        elif now >= self.spec.deadline:
            detail = f'share={self.step.share:.3f} samples={self._samples} {evidence}'
            self._finish(EndPhase.taken_back, EndReason.deadline, detail)

    def _is_proven(self, evidence: Evidence, now: float) -> bool:
        spec = self.spec
        if self.step.share < spec.max_share or self._samples < _MIN_WATCH_SAMPLES:
            return False
        watched_s = now - self._share_set_at
        # A new leader has no earlier evidence, so it must have collected some itself.
        evidence_s = now - self._evidence_since
        if watched_s < spec.watch_s or evidence_s < min(_MIN_RESUMED_WATCH_S, spec.watch_s):
            return False
        max_watch_s = _MAX_WATCH_FACTOR * spec.nominal_watch_s
        margin_s = _DEADLINE_MARGIN_FRACTION * (spec.deadline - spec.started_at)
        must_end = watched_s >= max_watch_s or now >= spec.deadline - margin_s
        return not self._has_signs_of_fault(evidence) and (must_end or self._is_excess_ruled_out())

    def _is_excess_ruled_out(self) -> bool:
        """Returns whether an excess of errors has been ruled out on each route."""
        by_route = self._comparison.excess_by_route('error_rate')
        return all(excess.upper_share() <= _MAX_PROVEN_EXCESS for excess in by_route.values())

    def _next_step(self, evidence: Evidence, now: float) -> MoveStep | None:
        if not self.step.share:
            return self._make_step(self.spec.capped_canary_share, 'canary')
        if self._breakers.is_trial_due(self.step.step, now):
            return self._make_step(self.step.share, 'try open breakers again')
        reduced = reduced_share(self.spec, self.step.share)
        if self._alarm.reset_if_raised() and reduced < self.step.share:
            return self._make_step(reduced, 'failures within few requests')
        if self._has_signs_of_fault(evidence):
            return self._hold(evidence)
        self._held = False
        if now - self._share_set_at < self.spec.dwell_s or self.step.share >= self.spec.max_share:
            return None
        share = next_share(self._comparison, self.spec, self.step.share, now)
        return None if share is None else self._make_step(share, 'evidence')

    def _hold(self, evidence: Evidence) -> MoveStep | None:
        """Holds the share, and lowers it once if the sequential test shows signs of a fault."""
        if self._held:
            return None
        self._held = True
        core_events.log(events.MOVE_HELD, move=self.spec.move_id, evidence=str(evidence))
        share = reduced_share(self.spec, self.step.share)
        if evidence.log_e < _HOLD_LOG_E or share >= self.step.share:
            return None
        return self._make_step(share, 'signs of a fault')

    def _has_signs_of_fault(self, evidence: Evidence) -> bool:
        return evidence.log_e >= _HOLD_LOG_E or not self._breakers.all_closed()

    def _make_step(self, share: float, reason: str) -> MoveStep:
        return MoveStep(
            move_id=self.spec.move_id, step=self.step.step + 1, share=share, reason=reason
        )

    def _finish(self, phase: EndPhase, reason: EndReason, detail: str) -> None:
        self.end = MoveEnd(move_id=self.spec.move_id, phase=phase, reason=reason, detail=detail)
        core_events.log(
            events.MOVE_ENDED,
            move=self.spec.move_id,
            phase=phase.value,
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
