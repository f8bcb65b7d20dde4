"""Guards the tracked load and prefix caches of backend servers."""

import unittest

from geraniumrail.core.backend import Backend
from geraniumrail.core.cache_event import CacheEvent
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.prefix_hints import MAX_HINTS, PrefixHints
from geraniumrail.routing.prefixes import digest_prefixes


def added(sequence, prefix):
    return CacheEvent(sequence=sequence, prefix=prefix, added=True)


class PrefixHintsTest(unittest.TestCase):
    def test_gap_lowers_the_confidence_of_older_hints_only(self):
        """An eviction lost in a gap must not keep a hint at full confidence."""
        hints = PrefixHints()
        hints.observe('e', [added(1, 'old')], 0)
        self.assertEqual(hints.confidence('e', 'old', 0), 1)
        hints.observe('e', [added(4, 'new')], 0)
        self.assertEqual(hints.confidence('e', 'old', 0), 0.5)
        self.assertEqual(hints.confidence('e', 'new', 0), 1)

    def test_late_events_are_ignored(self):
        """An old 'added' event must not bring back an evicted prefix."""
        hints = PrefixHints()
        evicted = CacheEvent(sequence=2, prefix='p', added=False)
        hints.observe('e', [evicted, added(1, 'p')], 0)
        hints.observe('e', [added(1, 'p')], 0)
        self.assertEqual(hints.confidence('e', 'p', 0), 0)
        self.assertEqual(list(hints.holders(['p'])), [])

    def test_hints_are_bounded(self):
        """Memory must not grow with the number of prompts."""
        hints = PrefixHints()
        for number in range(MAX_HINTS + 10):
            hints.record_sent('e', [str(number)], 0)
        self.assertEqual(list(hints.holders(['9'])), [])
        self.assertEqual(list(hints.holders(['10'])), ['e'])

    def test_digests_cover_all_text_before(self):
        """Equal blocks after different text are different prefixes."""
        first = digest_prefixes('abcd' + 'same', 4)
        second = digest_prefixes('wxyz' + 'same', 4)
        self.assertFalse(set(first) & set(second))
        self.assertEqual(first, digest_prefixes('abcdsame-', 4))


class BackendTrackerTest(unittest.TestCase):
    def backend(self, sequence, report, address='127.0.0.1:1'):
        return Backend(
            instance='e',
            service='s',
            address=address,
            data_centre='d',
            region='r',
            version='v',
            sequence=sequence,
            load=report,
        )

    def test_report_replaces_the_own_requests_that_it_includes(self):
        """Own requests must be counted once: until a report includes them, or as part of it."""
        tracker = BackendTracker(own_send_weight=1)
        backend = self.backend(1, LoadReport())
        tracker.observe(backend, 0)
        tracker.record_sent('e', 100, (), 1)
        tracker.record_sent('e', 100, (), 2)
        self.assertAlmostEqual(tracker.estimate(backend, 2).requests, 2, delta=0.2)
        tracker.observe(self.backend(2, LoadReport(running=1, age_s=0.5)), 2)
        self.assertAlmostEqual(tracker.estimate(backend, 2).requests, 2, delta=0.2)
        tracker.record_finished('e', 100, 2)
        self.assertAlmostEqual(tracker.estimate(backend, 2).requests, 1, delta=0.2)

    def test_restarted_backend_has_no_load_and_no_hints(self):
        """After a restart at another address, sequences begin at 1 and the cache is empty."""
        tracker = BackendTracker()
        tracker.observe(self.backend(90, LoadReport(running=5)), 0)
        tracker.record_sent('e', 100, ['p'], 0)
        restarted = self.backend(1, LoadReport(), '127.0.0.1:2')
        tracker.observe(restarted, 1)
        self.assertEqual(tracker.estimate(restarted, 1).requests, 0)
        self.assertEqual(list(tracker.hints.holders(['p'])), [])


if __name__ == '__main__':
    unittest.main()
