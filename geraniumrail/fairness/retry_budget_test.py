"""Guards the bound of retries over all entries together, in virtual time."""

import itertools
import unittest

from geraniumrail.fairness.retry_budget import RetryBudget, RetryLimit

SERVICE = 'model-bench'
WINDOW_S = 10
RATIO = 0.2
SLACK = 58  # of the smallest deployment; the test must hold for all numbers of entries with it
USED_SLACK = SLACK / 2  # an entry that restarts uses its part once more
REQUESTS_PER_S = 300  # of the whole service
DAY_S = 40
FLOOD = range(22, 26)  # seconds with four times the requests
WANTED_BY_REQUEST = 5  # servers that were replaced and answer instead of the one that was meant


class Fleet:
    """Entries that get their requests in turn and want retries for each of them."""

    def __init__(self, count):
        self._count = count
        self.budgets = [self._budget(-WINDOW_S) for _ in range(count)]
        self.requests = [0] * DAY_S
        self.retries = [0] * DAY_S
        self._turns = itertools.cycle(range(count))

    def _budget(self, started_at):
        return RetryBudget(RetryLimit(WINDOW_S, USED_SLACK), lambda: self._count, started_at)

    def play(self, restart_at, failing):
        """Plays the day; `failing` holds the seconds in which all first attempts fail."""
        for second in range(DAY_S):
            if second == restart_at:
                self.budgets = [self._budget(second) for _ in self.budgets]
            rate = REQUESTS_PER_S * (4 if second in FLOOD else 1)
            for number in range(rate):
                self._serve(second, second + number / rate, second in failing)

    def _serve(self, second, now, fails):
        budget = self.budgets[next(self._turns)]
        budget.record_request(SERVICE, 0.18, now)
        self.requests[second] += 1
        wanted = range(WANTED_BY_REQUEST if fails else 0)
        taken = itertools.takewhile(bool, (budget.take_retry(SERVICE, now) for _ in wanted))
        self.retries[second] += sum(taken)

    def excess(self):
        """Returns the most retries of a window above what is allowed; at most 0 if it holds."""
        return max(
            sum(self.retries[first : first + WINDOW_S])
            - RATIO * sum(self.requests[first : first + WINDOW_S])
            - SLACK
            for first in range(DAY_S - WINDOW_S + 1)
        )


class AllEntriesTest(unittest.TestCase):
    def test_retries_of_all_entries_together_stay_within_the_limit(self):
        """Each entry saved up retries by itself, so that many entries together sent many times the
        slack that is allowed for all of them."""
        for count in (4, 25, 83, 320):
            for restart_at in (None, 23):
                with self.subTest(entries=count, restart_at=restart_at):
                    fleet = Fleet(count)
                    fleet.play(restart_at, range(21, 30))
                    self.assertLessEqual(fleet.excess(), 0)

    def test_few_failures_are_retried(self):
        """A limit that is divided over many entries must still leave some for each of them."""
        for count in (4, 25, 83):
            with self.subTest(entries=count):
                fleet = Fleet(count)
                fleet.play(None, range(21, 22))
                self.assertGreater(fleet.retries[21], 0.1 * fleet.requests[21])
