"""Guards the load model: figures can be checked only if a seed repeats them."""

import unittest

from geraniumrail.bench import routing_experiment


class RepeatTest(unittest.TestCase):
    def test_seed_repeats_to_the_digit(self):
        first = routing_experiment.run('4x9 0.6 choose', 1, 2)
        self.assertEqual(first, routing_experiment.run('4x9 0.6 choose', 1, 2))
        self.assertNotEqual(first, routing_experiment.run('4x9 0.6 choose', 2, 2))
        self.assertGreater(first['requests'], 0)


if __name__ == '__main__':
    unittest.main()
