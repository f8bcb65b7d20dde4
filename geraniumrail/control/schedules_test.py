"""Guards settings and orders in seeded schedules, and shows that the checks detect faults."""

import logging
import unittest
from unittest import mock

from geraniumrail.consensus.replica import Replica
from geraniumrail.control import order_sender
from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.control.testing import run_order_schedule, run_schedule
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.state import apply_settings

SEEDS = 20


async def no_barrier(replica):
    return 0


class QuietTestCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class SettingsScheduleTest(QuietTestCase):
    def test_no_guarantee_is_broken(self):
        """Nothing is lost, reverted or applied twice, and no entry serves old settings."""
        for seed in range(4):
            report = run_schedule(seed)
            with self.subTest(seed=seed):
                self.assertEqual(report.violations, [])
                self.assertGreater(report.written, 5)

    def test_checks_detect_faults(self):
        """Each mechanism that is switched off causes a violation within a few seeds."""
        cases = (
            ('stale reads', (Replica, 'read_barrier', no_barrier), 'began after'),
            ('resent changes', (apply_settings, 'remember', lambda *parts: None), 'results'),
            (
                'leases of an earlier leader',
                (EntryLeases, 'knows_all_leases', lambda leases, now: True),
                'in force',
            ),
            ('entry leases', (ClusterView, 'holds_lease', lambda view: True), 'in force'),
        )
        for name, (owner, attribute, replacement), expected in cases:
            with self.subTest(name), mock.patch.object(owner, attribute, replacement):
                found = (' '.join(run_schedule(seed).violations) for seed in range(SEEDS))
                self.assertTrue(any(expected in each for each in found))


class OrderScheduleTest(QuietTestCase):
    def test_no_guarantee_is_broken(self):
        """No order of an old leader takes effect after the first of the new one."""
        for seed in (6, 7):
            with self.subTest(seed=seed):
                report = run_order_schedule(seed)
                self.assertEqual(report.violations, [])
                self.assertGreater(report.leaders, 2)

    def test_checks_detect_faults(self):
        """Without fencing, or without the delay, an order of an old leader takes effect late."""
        self.assertTrue(
            any(run_order_schedule(seed, enforcing=False).violations for seed in range(SEEDS))
        )
        with mock.patch.object(order_sender, 'FIRST_ORDER_DELAY_S', 0):
            self.assertTrue(any(run_order_schedule(seed).violations for seed in range(SEEDS)))


if __name__ == '__main__':
    unittest.main()
