"""Baseline for moves: fixed steps, fixed thresholds on errors and latency, no breaker."""

from collections import deque
from collections.abc import Iterable

from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.end_reason import EndPhase, EndReason
from geraniumrail.rollout.move_end import MoveEnd
from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.move_step import MoveStep
from geraniumrail.rollout.outcome_stat import OutcomeStat

_SHARES = (0.05, 0.25, 0.5, 1)
_STEP_S = 90
_WINDOW_S = 60
_MIN_REQUESTS = 10
_MAX_ERROR_RATE = 0.05
_MAX_SLOWDOWN = 1.5  # mean first token against the mean of the old version in the first minute


class FixedSteps:
    """Has the interface of `MoveController`."""

    def __init__(self, spec: MoveSpec) -> None:
        """Starts a move.

        :param spec: the move.
        """
        self.spec = spec
        self.step = MoveStep(move_id=spec.move_id, step=0, share=0, reason='start')
        self.end: MoveEnd | None = None
        self._step_at = spec.started_at
        self._recent: deque[tuple[float, OutcomeStat]] = deque()
        self._old_first = [0, 0]

    def observe(
        self,
        stats: Iterable[OutcomeStat],
        breakers: Iterable[BreakerReport] = (),
        entry: str = '',
        now: float = 0,
    ) -> None:
        """Takes the report of one entry.

        :param stats: outcomes since the last report.
        :param breakers: ignored.
        :param entry: ignored.
        :param now: seconds.
        """
        for stat in stats:
            if stat.version == self.spec.to_version:
                self._recent.append((now, stat))
            elif now - self.spec.started_at < _WINDOW_S:
                self._old_first[0] += stat.first_token_sum_s
                self._old_first[1] += sum(count for _, count in stat.first_token_counts)

    def confirm_step(self, step: MoveStep, now: float) -> None:
        """Confirms a step.

        :param step: the step.
        :param now: seconds.
        """
        self.step = step
        self._step_at = now

    def decide(self, now: float) -> MoveStep | MoveEnd | None:
        """Returns the next step or the end.

        :param now: seconds.
        """
        while self._recent and now - self._recent[0][0] > _WINDOW_S:
            self._recent.popleft()
        reason = self._fault()
        if reason is None and self.step.step and now - self._step_at < _STEP_S:
            return None
        if reason is None and self.step.step < len(_SHARES):
            share = _SHARES[self.step.step]
            number = self.step.step + 1
            return MoveStep(move_id=self.spec.move_id, step=number, share=share, reason='time')
        phase = EndPhase.taken_back if reason else EndPhase.done
        self.end = MoveEnd(
            move_id=self.spec.move_id, phase=phase, reason=reason or EndReason.evidence
        )
        return self.end

    def _fault(self) -> EndReason | None:
        requests = sum(stat.requests for _, stat in self._recent)
        errors = sum(stat.errors for _, stat in self._recent)
        if requests >= _MIN_REQUESTS and errors > _MAX_ERROR_RATE * requests:
            return EndReason.error_rate
        first_s = sum(stat.first_token_sum_s for _, stat in self._recent)
        samples = sum(count for _, stat in self._recent for _, count in stat.first_token_counts)
        if samples < _MIN_REQUESTS or not self._old_first[1]:
            return None
        old_s = self._old_first[0] / self._old_first[1]
        return EndReason.latency if first_s / samples > _MAX_SLOWDOWN * old_s else None
