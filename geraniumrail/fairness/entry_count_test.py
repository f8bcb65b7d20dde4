"""Guards the number of entries by which common limits are divided."""

import unittest

from geraniumrail.fairness.entry_count import FEWER_ENTRIES_DELAY_S, EntryCount


class EntryCountTest(unittest.TestCase):
    def test_new_leader_that_knows_few_entries_is_not_believed_at_once(self):
        """Entries report to a new leader one after the other; the first ones used the whole of
        limits that are divided over all of them."""
        count = EntryCount()
        count.observe(83, 0)
        for number in range(1, 6):
            count.observe(number, number)
            self.assertEqual(count.highest, 83)
        count.observe(6, FEWER_ENTRIES_DELAY_S + 0.1)
        self.assertEqual(count.highest, 6)

    def test_more_entries_count_at_once(self):
        """A late increase would let all entries together exceed a limit."""
        count = EntryCount()
        self.assertEqual(count.highest, 1)
        for number in (4, 25):
            count.observe(number, 0)
            self.assertEqual(count.highest, number)
