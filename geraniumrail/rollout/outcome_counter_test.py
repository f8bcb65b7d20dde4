"""Guards the outcome counter: no outcome counts twice; memory is bounded without a link."""

import unittest

from geraniumrail.core import codec
from geraniumrail.rollout.outcome_counter import OutcomeCounter


class OutcomeCounterTest(unittest.TestCase):
    def test_parts_of_one_request_count_once(self):
        counter = OutcomeCounter()
        counter.observe('s', 'v1', 'chat', 'org', None, 0.2, None, 1.2)
        counter.observe('s', 'v1', 'chat', 'org', True, None, 0.05, 1.9)
        (stat,) = counter.drain()
        self.assertEqual((stat.requests, stat.errors, stat.second), (1, 1, 1))
        self.assertEqual(sum(count for _, count in stat.first_token_counts), 1)
        self.assertEqual(codec.decode(codec.encode(stat)), stat)
        self.assertEqual(counter.drain(), ())

    def test_memory_is_bounded(self):
        counter = OutcomeCounter()
        for second in range(10_000):
            counter.observe('s', 'v1', 'chat', 'org', False, None, None, second)
        stats = counter.drain()
        self.assertLess(len(stats), 5000)
        self.assertEqual(stats[-1].second, 9999)


if __name__ == '__main__':
    unittest.main()
