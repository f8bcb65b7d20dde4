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
from geraniumrail.rollout.next_share import next_share, retreat_share
from geraniumrail.rollout.outcome_stat import OutcomeStat
from geraniumrail.rollout.reported_breakers import ReportedBreakers
from geraniumrail.rollout.sequential_comparison import SequentialComparison

_ALPHA = 0.005  # chance of taking a good move back, for each signal
_END_LOG_E = math.log(1 / _ALPHA)
_HOLD_LOG_E = _END_LOG_E * 0.7  # under a lower one, one good move in ten would be held
_MIN_FULL_SAMPLES = 20
_PROVEN_EXCESS = 0.02  # share of errors on a route, above which the version is watched for longer
_LONGEST_WATCH = 3  # times the watch period
_LAST_DECISION = 0.05  # of the time to the deadline, left for a breaker to try again


class MoveController:
    """Judges one move. Objects hold evidence only; what is recorded is passed in.

    `decide` returns the same step until `confirm_step`, and the same end from then on, so that a
    lost proposal is sent again.
    """

    def __init__(self, spec: MoveSpec, step: MoveStep, step_at: float, now: float) -> None:
        """Use `from_start` or `resume`.

        :param spec: the move.
        :param step: last recorded step.
        :param step_at: when it was recorded, wall seconds.
        :param now: wall seconds.
        """
        self.spec = spec
        self.step = step
        self.end: MoveEnd | None = None
        self._step_at = step_at
        self._begun_at = now
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
        cls, spec: MoveSpec, step: int, share: float, step_at: float, now: float
    ) -> 'MoveController':
        """Continues a move after a change of control leader; evidence starts again.

        :param spec: the move.
        :param step: last recorded step number.
        :param share: its share.
        :param step_at: when it was recorded, wall seconds.
        :param now: wall seconds.
        """
        recorded = MoveStep(move_id=spec.move_id, step=step, share=share, reason='resumed')
        core_events.log(events.MOVE_RESUMED, move=spec.move_id, step=step, share=share)
        return cls(spec, recorded, step_at, now)

    def observe(
        self,
        stats: Iterable[OutcomeStat],
        breakers: Iterable[BreakerReport] = (),
        entry: str = '',
        now: float | None = None,
    ) -> None:
        """Takes the report of one entry.

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
        """Confirms that a step is in the log.

        :param step: the recorded step.
        :param now: wall seconds.
        """
        if step.step <= self.step.step:
            return
        if step.share != self.step.share:
            self._comparison.close()
            self._samples = 0
            self._step_at = now
        self.step = step
        self._pending = None

    def cancel(self, operator: str) -> None:
        """Ends the move at the wish of an operator, unless it has ended.

        :param operator: who asked.
        """
        if self.end is None:
            self._finish(EndPhase.cancelled, EndReason.operator, f'cancelled by {operator}')

    def decide(self, now: float) -> MoveStep | MoveEnd | None:
        """Returns what to record next, if anything.

        :param now: wall seconds.
        """
        self._now = now
        if self.end is not None:
            return self.end
        self._breakers.expire(now)
        evidence = self._comparison.look(now)
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
            self._finish(EndPhase.taken_back, reason, str(evidence))
        elif self._breakers.condemns(evidence.log_e):
            self._finish(EndPhase.taken_back, EndReason.breaker, str(self._breakers))
        elif self._is_proven(evidence, now):
            detail = f'samples={self._samples} {evidence}'
            self._finish(EndPhase.done, EndReason.evidence, detail)
        elif now >= self.spec.deadline:
            detail = f'share={self.step.share:.3f} samples={self._samples} {evidence}'
            self._finish(EndPhase.taken_back, EndReason.deadline, detail)

    def _is_proven(self, evidence: Evidence, now: float) -> bool:
        spec = self.spec
        if self.step.share < spec.full_share or self._samples < _MIN_FULL_SAMPLES:
            return False
        watched_s = now - self._step_at
        # After a change of leader the evidence is fresh, so some of it must be new as well.
        fresh_s = now - self._begun_at
        if watched_s < spec.watch_duration_s or fresh_s < min(10, spec.watch_duration_s):
            return False
        longest_s = _LONGEST_WATCH * spec.watch_s
        spare_s = _LAST_DECISION * (spec.deadline - spec.started_at)
        is_last = watched_s >= longest_s or now >= spec.deadline - spare_s
        return not self._signs_of_fault(evidence) and (is_last or self._is_known_well())

    def _is_known_well(self) -> bool:
        """Tells whether an excess of errors has been ruled out on each route."""
        by_route = self._comparison.excess('error_rate')
        return all(excess.upper_share() <= _PROVEN_EXCESS for excess in by_route.values())

    def _next_step(self, evidence: Evidence, now: float) -> MoveStep | None:
        if not self.step.share:
            return self._make_step(self.spec.unproven_share, 'canary')
        if self._breakers.trial_is_due(self.step.step, now):
            return self._make_step(self.step.share, 'try open breakers again')
        retreat = retreat_share(self.spec, self.step.share)
        if self._alarm.reset_if_raised() and retreat < self.step.share:
            return self._make_step(retreat, 'failures within few requests')
        if self._signs_of_fault(evidence):
            return self._hold(evidence)
        self._held = False
        if now - self._step_at < self.spec.dwell_s or self.step.share >= self.spec.full_share:
            return None
        share = next_share(self._comparison, self.spec, self.step.share, now)
        return None if share is None else self._make_step(share, 'evidence')

    def _hold(self, evidence: Evidence) -> MoveStep | None:
        """Keeps the share, and lowers it once if the comparison shows signs of a fault."""
        if self._held:
            return None
        self._held = True
        core_events.log(events.MOVE_HELD, move=self.spec.move_id, evidence=str(evidence))
        share = retreat_share(self.spec, self.step.share)
        if evidence.log_e < _HOLD_LOG_E or share >= self.step.share:
            return None
        return self._make_step(share, 'signs of a fault')

    def _signs_of_fault(self, evidence: Evidence) -> bool:
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
