"""Guards version moves.

Faults roll them back, good versions are done by the deadline, and no move ends twice.
"""

import random
import unittest

from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.end_reason import EndPhase, EndReason
from geraniumrail.rollout.move_controller import MoveController
from geraniumrail.rollout.move_end import MoveEnd
from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.outcome_counter import OutcomeCounter

SPEC = MoveSpec(
    move_id='m1',
    service='assistant-llm',
    from_version='v1',
    to_version='v2',
    started_at=0,
    deadline=900,
)
ROUTES = ('chat', 'quick', 'review')


def good(version, route, now, share):
    return False, 0.1 * (1 + ROUTES.index(route))


class Run:
    """Passes `rate` requests per second to a controller until the move ends."""

    def __init__(self, behave, *, rate=10, controller=None, start=0, seed=1):
        self.behave = behave
        self.rate = rate
        self.rng = random.Random(seed)
        self.controller = controller or MoveController.from_start(SPEC, start)
        self.now = start
        self.shares = []
        self.decisions = []

    def until(self, end):
        counter = OutcomeCounter()
        while self.now < end and self.controller.end is None:
            self.now += 1
            for _ in range(self.rate):
                self._request(counter)
            self.controller.observe(counter.drain(), entry='e1', now=self.now)
            decision = self.controller.decide(self.now)
            if decision is not None:
                self.decisions.append(decision)
                if not isinstance(decision, MoveEnd):
                    self.shares.append(decision.share)
                    self.controller.confirm_step(decision, self.now)
        return self.controller.end

    def _request(self, counter):
        share = self.controller.step.share
        version = 'v2' if self.rng.random() < share else 'v1'
        route = self.rng.choice(ROUTES)
        failed, latency = self.behave(version, route, self.now, share)
        latency *= self.rng.lognormvariate(0, 0.3)
        counter.observe('assistant-llm', version, route, 'org', failed, latency, None, self.now)


class MoveControllerTest(unittest.TestCase):
    def assert_end(self, end, phase, reason):
        self.assertIsNotNone(end)
        self.assertEqual((end.phase, end.reason), (phase, reason))

    def test_good_version_is_done_and_starts_at_the_canary_share(self):
        run = Run(good)
        self.assert_end(run.until(1000), EndPhase.done, EndReason.evidence)
        self.assertLess(run.now, SPEC.deadline)
        self.assertEqual(run.shares[0], 0.05)
        self.assertEqual(run.shares[-1], SPEC.max_share)

    def test_failing_version_never_gets_more_than_the_canary_share(self):
        run = Run(lambda version, *_: (version == 'v2', 0.1))
        self.assert_end(run.until(1000), EndPhase.taken_back, EndReason.error_rate)
        self.assertEqual(set(run.shares), {0.05})

    def test_fault_on_one_route_only_is_found(self):
        run = Run(lambda version, route, *_: (version == 'v2' and route == 'review', 0.1))
        end = run.until(1000)
        self.assert_end(end, EndPhase.taken_back, EndReason.error_rate)
        self.assertIn('route=review', end.detail)

    def test_late_fault_at_the_largest_share_is_found(self):
        def behave(version, route, now, share):
            if share >= SPEC.max_share:
                self.max_share_since = min(self.max_share_since, now)
            return version == 'v2' and now > self.max_share_since + 60, 0.1

        self.max_share_since = float('inf')
        run = Run(behave)
        self.assert_end(run.until(1000), EndPhase.taken_back, EndReason.error_rate)
        self.assertIn(SPEC.max_share, run.shares)
        self.assertLess(run.now, self.max_share_since + 60 + 20)

    def test_version_slow_under_load_only_is_found(self):
        def behave(version, route, now, share):
            return False, 0.3 if version == 'v2' and share > 0.5 else 0.1

        run = Run(behave)
        self.assert_end(run.until(1000), EndPhase.taken_back, EndReason.latency)

    def test_slow_and_failing_requests_of_both_versions_are_not_a_fault(self):
        def behave(version, route, now, share):
            if 20 < now < 300:
                return self.rng.random() < 0.2, 2
            return False, 0.1

        self.rng = random.Random(5)
        self.assert_end(Run(behave).until(1000), EndPhase.done, EndReason.evidence)

    def test_move_with_too_little_evidence_is_rolled_back_at_the_deadline(self):
        run = Run(good, rate=0)
        self.assert_end(run.until(2000), EndPhase.taken_back, EndReason.deadline)
        self.assertEqual(run.now, SPEC.deadline)

    def test_resumed_move_keeps_its_share_and_finishes(self):
        controller = MoveController.resume(SPEC, step=3, share=0.4, stepped_at=200, now=230)
        run = Run(good, controller=controller, start=230)
        self.assert_end(run.until(1000), EndPhase.done, EndReason.evidence)
        self.assertEqual(run.decisions[0].step, 4)
        self.assertGreater(run.decisions[0].share, 0.4)

    def test_resumed_move_at_the_largest_share_needs_new_evidence(self):
        controller = MoveController.resume(
            SPEC, step=5, share=SPEC.max_share, stepped_at=200, now=400
        )
        self.assertIsNone(controller.decide(401))

    def test_lost_step_proposal_is_repeated(self):
        controller = MoveController.from_start(SPEC, 0)
        first = controller.decide(1)
        self.assertEqual(controller.decide(5), first)
        controller.confirm_step(first, 6)
        self.assertIsNone(controller.decide(7))

    def test_cancellation_does_not_replace_an_end(self):
        run = Run(lambda version, *_: (version == 'v2', 0.1))
        end = run.until(1000)
        run.controller.cancel('ana')
        self.assertIs(run.controller.decide(run.now + 1), end)

    def test_cancellation_ends_a_running_move_once(self):
        controller = MoveController.from_start(SPEC, 0)
        controller.cancel('ana')
        end = controller.decide(1)
        self.assert_end(end, EndPhase.cancelled, EndReason.operator)
        self.assertIs(controller.decide(SPEC.deadline + 1), end)

    def test_open_breaker_is_tried_again_and_rolls_back_when_it_reopens(self):
        controller = MoveController.from_start(SPEC, 0)
        controller.confirm_step(controller.decide(1), 1)
        fields = {'service': 'assistant-llm', 'version': 'v2', 'route': '', 'cause': 'error_rate'}
        opened = BreakerReport(state='open', step=1, times=1, **fields)
        controller.observe((), (opened,), 'e1', 2)
        self.assertIsNone(controller.decide(3))
        trial = controller.decide(6)
        self.assertEqual((trial.step, trial.share), (2, 0.05))
        controller.confirm_step(trial, 6)
        reopened = BreakerReport(state='open', step=2, times=2, **fields)
        controller.observe((), (reopened,), 'e1', 8)
        self.assert_end(controller.decide(8), EndPhase.taken_back, EndReason.breaker)

    def test_open_breaker_of_a_lost_entry_does_not_hold_the_move(self):
        run = Run(good)
        run.until(20)
        lost = BreakerReport(
            service='assistant-llm',
            version='v2',
            route='chat',
            cause='error_rate',
            state='open',
            step=1,
            times=1,
        )
        run.controller.observe((), (lost,), 'lost', run.now)
        self.assert_end(run.until(1000), EndPhase.done, EndReason.evidence)


if __name__ == '__main__':
    unittest.main()
