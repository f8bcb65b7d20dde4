"""Guards the removal of backend servers that leave: immediate, and not undone by late messages."""

import logging
import unittest

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.core.backend import Backend


def announcement(sequence, incarnation=1000, state='serving'):
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


class WithdrawalTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.registry = BackendRegistry()
        self.registry.observe([announcement(5)], 0)

    def registered(self):
        return list(self.registry.registered_by_instance)

    def test_withdrawal_without_an_incarnation_means_the_present_one(self):
        """Such a withdrawal was ignored, so entries went on sending requests for seconds."""
        self.assertTrue(self.registry.withdraw('i-1', 0, 1))
        self.assertEqual(self.registered(), [])

    def test_late_announcement_does_not_register_it_again(self):
        self.registry.withdraw('i-1', 1000, 1)
        self.assertFalse(self.registry.observe([announcement(9)], 2))
        self.assertEqual(self.registered(), [])

    def test_new_incarnation_starts_with_a_lower_sequence(self):
        self.registry.withdraw('i-1', 1000, 1)
        self.assertTrue(self.registry.observe([announcement(1, incarnation=2000)], 2))
        self.assertFalse(self.registry.observe([announcement(8, state='leaving')], 3))
        self.assertEqual(self.registry.registered_by_instance['i-1'].backend.state, 'serving')

    def test_withdrawal_of_an_old_incarnation_keeps_the_new_one(self):
        self.registry.observe([announcement(1, incarnation=2000)], 1)
        self.assertFalse(self.registry.withdraw('i-1', 1000, 2))
        self.assertEqual(self.registered(), ['i-1'])


if __name__ == '__main__':
    unittest.main()
