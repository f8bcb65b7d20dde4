"""Guards the learned prefill rate against samples that say little about the engines."""

import random
import unittest

from geraniumrail.routing.prefill_rate import PrefillRate

RATE = 100_000
FIXED_S = 0.03


def observed(*, cached_part, waiting_part, seed):
    """Returns the rate after samples of which some waited and some were cached by other entries."""
    rng = random.Random(seed)
    rate = PrefillRate()
    for _ in range(500):
        tokens = min(60_000, rng.lognormvariate(8.3, 1))
        read = 0.1 * tokens if rng.random() < cached_part else tokens
        wait_s = rng.expovariate(10) if rng.random() < waiting_part else 0
        rate.observe(tokens, FIXED_S + wait_s + read / RATE)
    return rate.tokens_per_s


class PrefillRateTest(unittest.TestCase):
    def test_prompts_that_another_entry_had_read(self):
        """A few samples were far above the rate of any engine. The highest one decided, and engines
        were cancelled as not needed."""
        found = [observed(cached_part=0.05, waiting_part=0.5, seed=seed) for seed in range(8)]
        self.assertLess(max(found), 1.2 * RATE)
        self.assertGreater(min(found), 0.5 * RATE)

    def test_prompts_that_waited(self):
        """Most prompts wait behind others while the engines are busy."""
        found = [observed(cached_part=0, waiting_part=0.7, seed=seed) for seed in range(8)]
        self.assertGreater(min(found), 0.5 * RATE)

    def test_rate_is_assumed_at_first(self):
        rate = PrefillRate(8000)
        rate.observe(500, 0.001)
        self.assertEqual(rate.tokens_per_s, 8000)
        self.assertFalse(rate.is_known)


if __name__ == '__main__':
    unittest.main()
