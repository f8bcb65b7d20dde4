"""Tests of what is known of the sizes of answers."""

import unittest

from geraniumrail.forwarding.answer_sizes import WINDOW_S, AnswerSizes


class AnswerSizesTest(unittest.TestCase):
    def test_largest_is_remembered_and_forgotten(self):
        """One large answer must not refuse the requests of its route for ever."""
        sizes = AnswerSizes()
        sizes.record('a', 30, now=WINDOW_S)
        sizes.record('a', 20, now=WINDOW_S + 1)
        self.assertEqual(sizes.largest('a', WINDOW_S + 1), 30)
        self.assertEqual(sizes.largest('a', 2.5 * WINDOW_S), 30)
        self.assertIsNone(sizes.largest('b', 2.5 * WINDOW_S))
        sizes.record('a', 10, now=2.5 * WINDOW_S)
        self.assertEqual(sizes.largest('a', 3 * WINDOW_S), 10)
        self.assertIsNone(sizes.largest('a', 5 * WINDOW_S))


if __name__ == '__main__':
    unittest.main()
