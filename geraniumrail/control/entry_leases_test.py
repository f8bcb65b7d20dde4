"""Guards what the leader assumes of entries that do not report."""

import logging
import unittest

from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.links.messages import EntryInfo

SILENT_S = 1.0


def info(entry, instance, state='serving'):
    return EntryInfo(
        entry=entry,
        instance=instance,
        address='',
        peer_address='',
        data_centre='',
        region='',
        state=state,
    )


class EntryLeasesTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.leases = EntryLeases()
        for name in ('a', 'b', 'c'):
            self.leases.renew(info(f'{name}-1', name), 0, holds_lease=True)

    def test_entry_that_does_not_report_is_silent(self):
        self.leases.renew(info('a-1', 'a'), 2, holds_lease=True)
        self.assertEqual(self.leases.silent(2.5, SILENT_S), 2)
        self.assertEqual(self.leases.silent(0.5, SILENT_S), 0)

    def test_restarted_and_stopped_entries_are_not_silent(self):
        """Entries were stopped and started in turn during a flood. Until the leases of the ended
        processes ran out, an organisation did without their shares of its limit."""
        self.leases.renew(info('a-2', 'a'), 2, holds_lease=False)
        self.leases.renew(info('b-1', 'b', 'leaving'), 0.5, holds_lease=True)
        self.leases.renew(info('c-1', 'c'), 2, holds_lease=True)
        self.assertEqual(self.leases.silent(2.5, SILENT_S), 0)


if __name__ == '__main__':
    unittest.main()
