"""Guards backend servers that leave: they must be forgotten at once and not come back late."""

import logging
import unittest

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.core.backend import Backend


def beat(sequence, incarnation=1000, state='serving'):
    return Backend(
        instance='i-1',
        service='model-bench',
        address='10.0.0.1:80',
        data_centre='cheras',
        region='klang-valley',
        version='v1',
        state=state,
        sequence=sequence,
        incarnation=incarnation,
    )


class LeaveTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.registry = BackendRegistry()
        self.registry.observe([beat(5)], 0)

    def known(self):
        return list(self.registry.registered_by_instance)

    def test_leaving_without_an_incarnation_means_the_present_one(self):
        """The message was acknowledged and ignored: entries went on sending for seconds."""
        self.assertTrue(self.registry.withdraw('i-1', 0, 1))
        self.assertEqual(self.known(), [])

    def test_late_announcement_does_not_bring_it_back(self):
        self.registry.withdraw('i-1', 1000, 1)
        self.assertFalse(self.registry.observe([beat(9)], 2))
        self.assertEqual(self.known(), [])

    def test_new_incarnation_counts_its_announcements_anew(self):
        self.registry.withdraw('i-1', 1000, 1)
        self.assertTrue(self.registry.observe([beat(1, incarnation=2000)], 2))
        self.assertFalse(self.registry.observe([beat(8, state='leaving')], 3))
        self.assertEqual(self.registry.registered_by_instance['i-1'].backend.state, 'serving')

    def test_old_incarnation_does_not_end_the_new_one(self):
        self.registry.observe([beat(1, incarnation=2000)], 1)
        self.assertFalse(self.registry.withdraw('i-1', 1000, 2))
        self.assertEqual(self.known(), ['i-1'])


if __name__ == '__main__':
    unittest.main()
