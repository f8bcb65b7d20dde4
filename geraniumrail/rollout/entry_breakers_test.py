"""Guards the breakers: they open within few samples, but not for faults of both versions."""

import random
import unittest

from geraniumrail.rollout.entry_breakers import EntryBreakers


class EntryBreakersTest(unittest.TestCase):
    def setUp(self):
        self.breakers = EntryBreakers()
        self.breakers.set_move('s', 'v1', 'v2', 1)
        self.now = 0

    def observe(self, version, failed=False, first=0.1, route='chat'):
        self.now += 0.1
        self.breakers.observe('s', version, route, failed, first, None, self.now)

    def blocked(self, route='chat'):
        return self.breakers.blocked('s', 'v2', route, self.now)

    def warm_up(self, seconds=20, **fields):
        for _ in range(int(seconds / 0.1)):
            self.observe('v1', **fields)

    def until_blocked(self, limit, **fields):
        for count in range(1, limit + 1):
            self.observe('v2', **fields)
            if self.blocked():
                return count
        return None

    def test_failing_version_is_blocked_after_few_requests(self):
        self.warm_up()
        self.assertLessEqual(self.until_blocked(10, failed=True), 3)

    def test_slow_version_is_blocked_after_few_requests(self):
        self.warm_up()
        self.assertLessEqual(self.until_blocked(10, first=0.4), 5)

    def test_stalled_requests_count_before_they_end(self):
        self.warm_up()
        for number in range(6):
            self.breakers.start_wait(f'a{number}', 's', 'v2', 'chat', self.now)
        for _ in range(10):
            self.observe('v1')
        self.assertTrue(self.blocked())

    def test_single_failure_does_not_open(self):
        self.warm_up()
        self.observe('v2', failed=True)
        self.assertFalse(self.blocked())

    def test_failures_of_both_versions_do_not_open(self):
        rng = random.Random(3)
        for _ in range(200):
            self.observe('v1', failed=rng.random() < 0.2)
        for _ in range(100):
            self.observe('v1', failed=rng.random() < 0.2)
            self.observe('v2', failed=rng.random() < 0.2)
            self.assertFalse(self.blocked())

    def test_surge_that_slows_both_versions_does_not_open(self):
        self.warm_up()
        for _ in range(10):
            self.observe('v1', first=1)
        for _ in range(50):
            self.observe('v1', first=1)
            self.observe('v2', first=1)
        self.assertFalse(self.blocked())

    def test_fault_on_one_route_blocks_that_route(self):
        for _ in range(100):
            self.observe('v1', route='chat')
            self.observe('v1', route='review')
        for _ in range(3):
            for _ in range(8):
                self.observe('v2', route='chat')
            self.observe('v2', failed=True, route='review')
        self.assertTrue(self.blocked('review'))
        self.assertFalse(self.blocked('chat'))

    def test_only_a_new_step_allows_a_trial(self):
        self.warm_up()
        self.until_blocked(10, failed=True)
        self.now += 600
        self.breakers.set_move('s', 'v1', 'v2', 1)
        self.assertTrue(self.blocked())
        self.breakers.set_move('s', 'v1', 'v2', 2)
        self.assertFalse(self.blocked())
        self.assertTrue(self.blocked(), 'only one trial at a time')
        self.observe('v2', failed=True)
        self.assertTrue(self.blocked())
        self.assertIn(2, [report.times for report in self.breakers.reports()])

    def test_successful_trials_close_the_breaker(self):
        self.warm_up()
        self.until_blocked(10, failed=True)
        self.breakers.set_move('s', 'v1', 'v2', 2)
        for _ in range(6):
            self.observe('v2')
        self.assertFalse(self.blocked())
        self.assertFalse(self.blocked())

    def test_old_version_and_services_without_a_move_are_never_blocked(self):
        self.warm_up(failed=True)
        self.assertFalse(self.breakers.blocked('s', 'v1', 'chat', self.now))
        self.assertFalse(self.breakers.blocked('other', 'v2', 'chat', self.now))


if __name__ == '__main__':
    unittest.main()
