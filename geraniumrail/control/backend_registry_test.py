"""Guards the updates on backend servers: complete differences, and load of a subset only."""

import dataclasses
import unittest

from geraniumrail.control.backend_registry import FAR_SUBSET_SIZE, NEAR_SUBSET_SIZE, BackendRegistry
from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.links.messages import EntryInfo

READER = EntryInfo(
    entry='entry-1-x',
    instance='entry-1',
    address='127.0.0.1:1',
    peer_address='127.0.0.1:2',
    data_centre='a1',
    region='a',
)


def announced_backend(number, region='a', sequence=1, **changes):
    return Backend(
        instance=f'engine-{number}',
        service='model-bench',
        address=f'127.0.0.1:{1000 + number}',
        data_centre=f'{region}1',
        region=region,
        version='v1',
        sequence=sequence,
        load=LoadReport(running=3),
        **changes,
    )


class BackendRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = BackendRegistry()

    def test_load_of_few_backends_is_sent(self):
        self.registry.observe([announced_backend(number) for number in range(9)], 0)
        difference = self.registry.difference_since(-1, READER)
        self.assertTrue(all(backend.load.running == 3 for backend in difference.backends))
        self.assertEqual(self.registry.difference_since(difference.version, READER).backends, ())

    def test_of_many_backends_all_are_sent_and_mostly_near_ones_with_load(self):
        regions = ['a', 'b'] * 100
        self.registry.observe([announced_backend(*each) for each in enumerate(regions)], 0)
        difference = self.registry.difference_since(-1, READER)
        with_load = [backend for backend in difference.backends if backend.load_known]
        near = [backend for backend in with_load if backend.region == 'a']
        self.assertEqual(len(difference.backends), 200)
        self.assertEqual(len(with_load), NEAR_SUBSET_SIZE + FAR_SUBSET_SIZE)
        self.assertGreaterEqual(len(near), NEAR_SUBSET_SIZE)

    def test_only_load_of_the_subset_is_sent_again(self):
        backends = [announced_backend(number) for number in range(200)]
        self.registry.observe(backends, 0)
        known_version = self.registry.difference_since(-1, READER).version
        renewed = [dataclasses.replace(backend, sequence=2) for backend in backends]
        self.registry.observe(renewed, 1)
        sent = self.registry.difference_since(known_version, READER)
        self.assertEqual(sent.backends, ())
        self.assertEqual(len(sent.loads), NEAR_SUBSET_SIZE + FAR_SUBSET_SIZE)
        row = sent.loads[0]
        sent_before = next(backend for backend in backends if backend.instance == row.i)
        renewed_backend = row.renew(dataclasses.replace(sent_before, load_known=False))
        self.assertEqual(renewed_backend, dataclasses.replace(sent_before, sequence=2))

    def test_new_backend_of_a_small_service_is_sent_with_load(self):
        self.registry.observe([announced_backend(1)], 0)
        known_version = self.registry.difference_since(-1, READER).version
        self.registry.observe([announced_backend(2)], 1)
        sent = self.registry.difference_since(known_version, READER).backends
        self.assertEqual([(each.instance, each.load_known) for each in sent], [('engine-2', True)])

    def test_departure_is_sent_to_entries_without_its_load(self):
        self.registry.observe([announced_backend(number) for number in range(200)], 0)
        first = self.registry.difference_since(-1, READER)
        without = next(backend for backend in first.backends if not backend.load_known)
        number = int(without.instance.rpartition('-')[2])
        self.registry.observe([announced_backend(number, sequence=2, state='leaving')], 1)
        second = self.registry.difference_since(first.version, READER)
        self.assertEqual([backend.state for backend in second.backends], ['leaving'])
        self.registry.expire(100)
        self.assertIn(without.instance, self.registry.difference_since(second.version, READER).gone)

    def test_version_of_an_earlier_registry_gets_everything(self):
        later = BackendRegistry(first_version=1000)
        later.observe([announced_backend(1)], 0)
        for known_version in (-1, 5, 999, 5000):
            self.assertTrue(later.difference_since(known_version, READER).full)
            self.assertEqual(len(later.difference_since(known_version, READER).backends), 1)
        self.assertFalse(later.difference_since(1001, READER).full)

    def changes(self, sequence, now, cold_s):
        """Returns what entries get of a new announcement: seconds of the cold time, or None."""
        known_version = self.registry.version
        self.registry.observe([announced_backend(1, sequence=sequence, cold_s=cold_s)], now)
        sent = self.registry.difference_since(known_version, READER).backends
        return [round(each.cold_s, 3) for each in sent]

    def test_only_changes_of_the_cold_time_are_published(self):
        """A server that turned cold again under its id was published as a load row, without the
        cold time; and each announcement of a cold one as a change."""
        self.assertEqual(self.changes(1, 0, 0), [0])
        self.assertEqual(self.changes(2, 1, 3), [3])
        self.assertEqual(self.changes(3, 2, 2), [])
        self.assertEqual(self.changes(4, 3, 3), [3])
        self.assertEqual(self.changes(5, 4, 0), [0])
        self.assertEqual(self.changes(6, 5, 3), [3])
        self.assertEqual(self.changes(7, 9, 0), [])
        self.assertEqual(self.changes(8, 10, 3), [3])

    def instances(self):
        return sorted(self.registry.registered_by_instance)

    def test_server_whose_address_has_another_one_is_gone(self):
        """A server that had crashed stayed listed until the end of its lease, although another one
        had announced itself at its address; each entry sent requests to it."""
        self.registry.observe([announced_backend(1, incarnation=100)], 0)
        version = self.registry.version
        later = dataclasses.replace(announced_backend(2, incarnation=200), address='127.0.0.1:1001')
        self.assertTrue(self.registry.observe([later], 1))
        self.assertEqual(self.instances(), ['engine-2'])
        self.assertEqual(self.registry.difference_since(version, READER).gone, ('engine-1',))

    def test_late_announcement_of_a_replaced_server_is_outdated(self):
        """It would list the server again, and entries would send requests to its address."""
        earlier = announced_backend(1, incarnation=100)
        later = dataclasses.replace(announced_backend(2, incarnation=200), address=earlier.address)
        self.registry.observe([later], 0)
        self.assertFalse(self.registry.observe([earlier], 1))
        self.assertEqual(self.instances(), ['engine-2'])
        self.assertTrue(self.registry.has_left(earlier))

    def test_servers_of_unknown_start_share_an_address(self):
        """Without a time of the start nothing tells which of them is there."""
        first = announced_backend(1)
        second = dataclasses.replace(announced_backend(2, incarnation=200), address=first.address)
        self.registry.observe([first, second], 0)
        self.assertEqual(self.instances(), ['engine-1', 'engine-2'])

    def test_server_that_has_moved_is_not_replaced_at_its_earlier_address(self):
        """An id may start again elsewhere; its earlier address belongs to another server then."""
        moved = dataclasses.replace(
            announced_backend(1, incarnation=150), address='127.0.0.1:2000', sequence=1
        )
        other = dataclasses.replace(announced_backend(2, incarnation=200), address='127.0.0.1:1001')
        self.registry.observe([announced_backend(1, incarnation=100), moved, other], 0)
        self.assertEqual(self.instances(), ['engine-1', 'engine-2'])

    def test_relayed_cold_time_is_what_is_left(self):
        """An entry that started later took a server for cold that had long been warm."""
        self.registry.observe([announced_backend(1, cold_s=3, lease_s=60)], 10)
        for now, left_s in ((11, 2), (20, 0)):
            self.registry.expire(now)
            (sent,) = self.registry.difference_since(-1, READER).backends
            self.assertEqual(sent.cold_s, left_s)

    def test_late_announcement_does_not_replace_a_newer_one(self):
        self.registry.observe([announced_backend(1, sequence=5, state='leaving')], 0)
        self.registry.observe([announced_backend(1, sequence=4)], 1)
        self.assertEqual(self.registry.registered_by_instance['engine-1'].backend.state, 'leaving')


if __name__ == '__main__':
    unittest.main()
