"""Guards the breaker: it opens within few samples and not for what the old version shows too."""

import random
import unittest

from geraniumrail.rollout.entry_breakers import EntryBreakers


class BreakerTest(unittest.TestCase):
    def setUp(self):
        self.breaker = EntryBreakers()
        self.breaker.set_move('s', 'v1', 'v2', 1)
        self.now = 0

    def observe(self, version, failed=False, first=0.1, route='chat'):
        self.now += 0.1
        self.breaker.observe('s', version, route, failed, first, None, self.now)

    def blocked(self, route='chat'):
        return self.breaker.blocked('s', 'v2', route, self.now)

    def warm(self, seconds=20, **fields):
        for _ in range(int(seconds / 0.1)):
            self.observe('v1', **fields)

    def until_blocked(self, limit, **fields):
        for count in range(1, limit + 1):
            self.observe('v2', **fields)
            if self.blocked():
                return count
        return None

    def test_failing_version_is_blocked_after_few_requests(self):
        self.warm()
        self.assertLessEqual(self.until_blocked(10, failed=True), 3)

    def test_slow_version_is_blocked_after_few_requests(self):
        self.warm()
        self.assertLessEqual(self.until_blocked(10, first=0.4), 5)

    def test_stalled_requests_count_before_they_end(self):
        self.warm()
        for number in range(6):
            self.breaker.start_wait(f'a{number}', 's', 'v2', 'chat', self.now)
        for _ in range(10):
            self.observe('v1')
        self.assertTrue(self.blocked())

    def test_single_failure_does_not_open(self):
        self.warm()
        self.observe('v2', failed=True)
        self.assertFalse(self.blocked())

    def test_failures_that_the_old_version_shows_as_well_do_not_open(self):
        rng = random.Random(3)
        for _ in range(200):
            self.observe('v1', failed=rng.random() < 0.2)
        for _ in range(100):
            self.observe('v1', failed=rng.random() < 0.2)
            self.observe('v2', failed=rng.random() < 0.2)
            self.assertFalse(self.blocked())

    def test_surge_that_slows_both_versions_does_not_open(self):
        self.warm()
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

    def test_only_a_new_step_lets_it_try_again(self):
        self.warm()
        self.until_blocked(10, failed=True)
        self.now += 600
        self.breaker.set_move('s', 'v1', 'v2', 1)
        self.assertTrue(self.blocked())
        self.breaker.set_move('s', 'v1', 'v2', 2)
        self.assertFalse(self.blocked())
        self.assertTrue(self.blocked(), 'only one trial at a time')
        self.observe('v2', failed=True)
        self.assertTrue(self.blocked())
        self.assertIn(2, [report.times for report in self.breaker.reports()])

    def test_good_trials_close_it(self):
        self.warm()
        self.until_blocked(10, failed=True)
        self.breaker.set_move('s', 'v1', 'v2', 2)
        for _ in range(6):
            self.observe('v2')
        self.assertFalse(self.blocked())
        self.assertFalse(self.blocked())

    def test_old_version_and_services_without_a_move_are_never_blocked(self):
        self.warm(failed=True)
        self.assertFalse(self.breaker.blocked('s', 'v1', 'chat', self.now))
        self.assertFalse(self.breaker.blocked('other', 'v2', 'chat', self.now))


if __name__ == '__main__':
    unittest.main()
