"""Guards the sequential test: it finds late faults without false alarms.

False alarms could come from repeated evaluation, from another mix of routes, and from faults that
both versions have.
"""

import math
import random
import unittest

from geraniumrail.rollout import likelihood_ratio
from geraniumrail.rollout.outcome_counter import OutcomeCounter
from geraniumrail.rollout.sequential_comparison import SequentialComparison

RATIOS = (1.5, 4, 30, 400)


def run(seed, rates, seconds=300, mix=None):
    """Returns the highest evidence of one run; `rates(version, route, second)` may change."""
    rng = random.Random(seed)
    test = SequentialComparison('v1', 'v2')
    highest = 0
    for second in range(seconds):
        counter = OutcomeCounter()
        for _ in range(10):
            version = rng.choice(('v1', 'v2'))
            first_share = mix(version) if mix else 0.5
            route = 'chat' if rng.random() < first_share else 'review'
            failed = rng.random() < rates(version, route, second)
            latency = rng.lognormvariate(-2, 0.3) * (3 if 100 < second < 200 else 1)
            counter.observe('s', version, route, 'org', failed, latency, None, second)
        for stat in counter.drain():
            test.observe(stat)
        highest = max(highest, test.evaluate(second).log_e)
    return highest


class LikelihoodRatioTest(unittest.TestCase):
    def test_expectation_under_the_tolerated_ratio_is_one(self):
        new_total, old_total, bad = 7, 12, 6
        weights = [
            math.comb(new_total, x) * math.comb(old_total, bad - x) * RATIOS[0] ** x
            for x in range(bad + 1)
        ]
        for number in range(len(RATIOS) - 1):
            mean = sum(
                weight
                * math.exp(
                    likelihood_ratio.log_likelihood_ratios(
                        x, new_total, bad - x, old_total, RATIOS
                    )[number]
                )
                for x, weight in enumerate(weights)
            )
            self.assertAlmostEqual(mean / sum(weights), 1)

    def test_bounds_never_exceed_the_exact_evidence(self):
        exact = likelihood_ratio._MAX_EXACT_SUPPORT
        for counts in ((30, 200, 2, 100), (80, 300, 60, 300), (90, 100, 3, 60)):
            bounded = likelihood_ratio.log_likelihood_ratios(*counts, RATIOS)
            likelihood_ratio.log_likelihood_ratios.cache_clear()
            likelihood_ratio._MAX_EXACT_SUPPORT = 10_000
            precise = likelihood_ratio.log_likelihood_ratios(*counts, RATIOS)
            likelihood_ratio._MAX_EXACT_SUPPORT = exact
            likelihood_ratio.log_likelihood_ratios.cache_clear()
            for low, high in zip(bounded, precise, strict=True):
                self.assertLessEqual(low, high + 1e-9)


class SequentialComparisonTest(unittest.TestCase):
    def test_equal_versions_raise_no_alarm_when_evaluated_often(self):
        alarms = sum(run(seed, lambda *_: 0.05) >= math.log(20) for seed in range(40))
        self.assertLessEqual(alarms, 2)

    def test_failures_of_both_versions_are_not_a_fault(self):
        highest = run(1, lambda version, route, second: 0.5 if 100 < second < 150 else 0.01)
        self.assertLess(highest, math.log(20))

    def test_other_mix_of_routes_is_not_a_fault(self):
        highest = run(
            2,
            lambda version, route, second: 0.3 if route == 'review' else 0.01,
            mix=lambda version: 0.8 if version == 'v1' else 0.2,
        )
        self.assertLess(highest, math.log(20))

    def test_late_fault_is_found(self):
        highest = run(3, lambda version, route, second: 0.2 * (version == 'v2') * (second > 250))
        self.assertGreater(highest, math.log(200))


if __name__ == '__main__':
    unittest.main()
