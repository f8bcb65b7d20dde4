"""Guards the removal of backend servers that leave: immediate, and not undone by late messages."""

import logging
import unittest

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.core.backend import Backend
from geraniumrail.links.messages import EntryInfo

WALL_S = 1.5  # the first start was at 1,000 ms
PAST_LEASE_S = 7.0
READER = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')


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
        self.assertTrue(self.registry.withdraw('i-1', 0, 1, WALL_S))
        self.assertEqual(self.registered(), [])

    def test_late_announcement_does_not_register_it_again(self):
        self.registry.withdraw('i-1', 1000, 1, WALL_S)
        self.assertFalse(self.registry.observe([announcement(9)], 2))
        self.assertEqual(self.registered(), [])

    def test_late_announcement_after_a_lost_lease_does_not_register_it_again(self):
        """An engine that was cut off deregistered; a heartbeat that the cut had held up made
        entries send it requests."""
        self.registry.expire(PAST_LEASE_S)
        self.registry.withdraw('i-1', 0, PAST_LEASE_S, WALL_S)
        self.assertFalse(self.registry.observe([announcement(6)], PAST_LEASE_S))
        self.assertEqual(self.registered(), [])

    def test_later_start_is_registered_after_an_unknown_one_has_left(self):
        """A departure without a known start must not keep out starts that come after it."""
        self.registry.expire(PAST_LEASE_S)
        self.registry.withdraw('i-1', 0, PAST_LEASE_S, WALL_S)
        self.assertTrue(self.registry.observe([announcement(1, incarnation=2000)], PAST_LEASE_S))

    def test_entries_are_told_that_an_unregistered_server_has_left(self):
        """Entries that knew the engine from an earlier leader went on using it."""
        registry = BackendRegistry(first_version=1000)
        self.assertTrue(registry.withdraw('i-1', 0, 1, WALL_S))
        self.assertEqual(registry.difference_since(7, READER).gone, ('i-1',))

    def test_new_incarnation_starts_with_a_lower_sequence(self):
        self.registry.withdraw('i-1', 1000, 1, WALL_S)
        self.assertTrue(self.registry.observe([announcement(1, incarnation=2000)], 2))
        self.assertFalse(self.registry.observe([announcement(8, state='leaving')], 3))
        self.assertEqual(self.registry.registered_by_instance['i-1'].backend.state, 'serving')

    def test_withdrawal_of_an_old_incarnation_keeps_the_new_one(self):
        self.registry.observe([announcement(1, incarnation=2000)], 1)
        self.assertFalse(self.registry.withdraw('i-1', 1000, 2, WALL_S))
        self.assertEqual(self.registered(), ['i-1'])


if __name__ == '__main__':
    unittest.main()
