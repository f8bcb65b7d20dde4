"""Guards usage counts on their way to the leader: repeated after a loss, and small."""

import unittest

from geraniumrail.control.usage_ledger import UsageLedger
from geraniumrail.forwarding.usage_counter import REPEAT_S, UsageCounter

WINDOW_S = 5


class UsageCounterTest(unittest.TestCase):
    def test_new_leader_learns_the_last_windows(self):
        """Pattern: the leader is lost between the end of a window and its report."""
        counter = UsageCounter()
        for wall in (1001, 1002, 1006, 1011):
            counter.started('salon', wall, WINDOW_S)
        counter.report(0)
        ledger = UsageLedger()
        ledger.observe('entry-1', counter.report(REPEAT_S))
        found = [ledger.counts(window, ['salon', 'idle']) for window in (200, 201, 202)]
        self.assertEqual([each['salon'] for each in found], [2, 1, 1])
        self.assertEqual(found[0]['idle'], 0)

    def test_most_reports_carry_the_newest_window_only(self):
        counter = UsageCounter()
        for wall in (1001, 1006, 1011):
            counter.started('salon', wall, WINDOW_S)
        counter.report(0)
        self.assertEqual([each.window for each in counter.report(REPEAT_S / 2)], [202])

    def test_requests_without_an_organisation_are_not_counted(self):
        counter = UsageCounter()
        counter.started('', 1001, WINDOW_S)
        counter.started('salon', 1001, 0)
        self.assertEqual(counter.report(0), ())


if __name__ == '__main__':
    unittest.main()
