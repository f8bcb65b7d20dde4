"""Tests limits divided over entries, the retry budget and the engine window."""

import random
import unittest

from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.entry_share import EntryShare, divide_by_demand
from geraniumrail.fairness.limits import Limits
from geraniumrail.fairness.organisation_limit import OrganisationLimit
from geraniumrail.fairness.retry_budget import (
    MAX_DELAY_S,
    RetryBudget,
    RetryLimit,
    retry_delay_s,
)


def admitted(limits, limit, seconds, tokens=100, start=0):
    """Returns how many requests are admitted if 100 arrive per second."""
    count = 0
    for tick in range(seconds * 100):
        now = start + tick / 100
        try:
            limits.admit('org', tokens, limit, now)
        except OverloadedError:
            continue
        limits.finish('org', tokens, tokens, now)
        count += 1
    return count


class LimitsTest(unittest.TestCase):
    def test_newly_used_entry_has_a_minimum_share(self):
        """An entry without recent demand must admit requests before the leader knows its demand."""
        limits = Limits()
        limits.update(EntryShare(entries=4, share_by_organisation={}))
        self.assertEqual(limits.share('org'), 1 / 8)
        limit = OrganisationLimit(requests_per_s=40)
        self.assertAlmostEqual(admitted(limits, limit, 20) / 20, 5, delta=1)

    def test_share_follows_demand(self):
        """An organisation whose callers use one entry gets its whole limit there."""
        shares = divide_by_demand({'a': {'org': 900.0}, 'b': {'org': 100.0}, 'c': {}})
        limits = Limits()
        limits.update(shares['a'])
        self.assertAlmostEqual(limits.share('org'), 0.9)
        limit = OrganisationLimit(tokens_per_s=2000)
        self.assertAlmostEqual(admitted(limits, limit, 20) * 100 / 20, 1800, delta=250)
        self.assertEqual(limits.pop_demand(20), {'org': 40000})

    def test_corrections_and_concurrent_limit(self):
        """Answers above the estimate are charged, and concurrent requests are limited."""
        limits = Limits()
        limit = OrganisationLimit(tokens_per_s=100, concurrent=2)
        limits.admit('org', 50, limit, 0)
        limits.admit('org', 50, limit, 0)
        with self.assertRaises(OverloadedError):
            limits.admit('org', 1, limit, 0)
        limits.finish('org', 50, 250, 0)
        with self.assertRaises(OverloadedError) as caught:
            limits.admit('org', 1, limit, 0)
        self.assertEqual(caught.exception.fields['reason'], 'tokens_per_s')
        limits.admit('org', 1, limit, 2)

    def test_single_request_above_the_burst_is_possible(self):
        """A review with more tokens than the bucket holds must not be refused for ever."""
        Limits().admit('org', 10_000, OrganisationLimit(tokens_per_s=100), 0)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_share_plus_slack_in_any_window(self):
        """Without a budget, retries would double the load in an overload."""
        budget = RetryBudget(RetryLimit(window_s=10, slack=2), lambda: 1)
        taken_at = []
        for tick in range(6000):
            budget.record_request('s', 0.1, tick / 100)
            if budget.take_retry('s', tick / 100):
                taken_at.append(tick / 100)
        for start in range(50):
            in_window = sum(start <= at < start + 10 for at in taken_at)
            self.assertLessEqual(in_window, 100 + 2)
        self.assertGreaterEqual(len(taken_at), 0.95 * 600)

    def test_saved_retries_are_bounded(self):
        """A long time without retries must not allow a burst of them."""
        budget = RetryBudget(RetryLimit(window_s=10, slack=10), lambda: 1)
        budget.record_request('s', 1, 0)
        allowed = sum(budget.take_retry('s', 100_000) for _ in range(1000))
        self.assertLessEqual(allowed, 10)

    def test_slack_is_divided_over_the_entries(self):
        """A part that each entry has by itself grows with the number of entries."""
        budget = RetryBudget(RetryLimit(window_s=10, slack=10), lambda: 5)
        allowed = sum(budget.take_retry('s', tick / 10) for tick in range(99))
        self.assertEqual(allowed, 2)

    def test_restarted_entry_has_only_its_part_of_the_slack(self):
        """It has forgotten the retries of its earlier process, and sent as many once more."""
        budget = RetryBudget(RetryLimit(window_s=10, slack=3), lambda: 1, started_at=50)
        for tick in range(100):
            budget.record_request('s', 0.2, 50 + tick / 10)
        self.assertEqual(sum(budget.take_retry('s', 59.9) for _ in range(99)), 3)
        for tick in range(100):
            budget.record_request('s', 0.2, 60 + tick / 10)
        self.assertGreater(sum(budget.take_retry('s', 69.9) for _ in range(99)), 15)

    def test_delay_grows_and_is_bounded(self):
        """Without jitter, retries would arrive at the same moment."""
        rng = random.Random(1)
        delays = [retry_delay_s(20, rng) for _ in range(100)]
        self.assertLessEqual(max(delays), MAX_DELAY_S)
        self.assertGreater(max(delays), max(retry_delay_s(1, rng) for _ in range(100)))
        self.assertEqual(len(set(delays)), 100)


class EngineWindowTest(unittest.TestCase):
    def test_window_shrinks_when_late_and_grows_when_in_time(self):
        """The fair queue has no effect on requests that wait inside the engine."""
        window = EngineWindow(4)
        for _ in range(4):
            window.record_sent('e')
        self.assertFalse(window.allows('e', 'chat'))
        window.record_first_token('e', 0.1, 0.51, 1)
        self.assertGreater(window.size('e'), 4)
        for tick in range(100):
            window.record_first_token('e', 2, 0.51, 2 + tick)
        self.assertEqual(window.size('e'), 1)
        for _ in range(4):
            window.record_finished('e')
        self.assertTrue(window.allows('e', 'review'))

    def test_full_engine_shrinks_the_window_before_answers_are_late(self):
        """Other entries use the engine too; first-token times alone would show it too late."""
        window = EngineWindow(4)
        window.record_load('e', LoadReport(running=16, slots=16))
        self.assertLess(window.size('e'), 4)
        for _ in range(4):
            window.record_sent('e')
        size = window.size('e')
        window.record_first_token('e', 0, 0.51, 1)
        self.assertEqual(window.size('e'), size)
        window.record_load('e', LoadReport(running=8, slots=16))
        window.record_first_token('e', 0, 0.51, 1)
        self.assertGreater(window.size('e'), size)

    def test_reviews_leave_room_for_chat(self):
        """Long reviews must not occupy the whole window."""
        window = EngineWindow(4)
        for _ in range(3):
            window.record_sent('e', 'review')
        self.assertFalse(window.allows('e', 'review'))
        self.assertTrue(window.allows('e', 'chat'))
        window.record_finished('e', 'review')
        window.record_sent('e', 'chat')
        self.assertTrue(window.allows('e', 'review'))


if __name__ == '__main__':
    unittest.main()
