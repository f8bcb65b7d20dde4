"""Guards what entries hear of backend servers: whole differences, and load of a part only."""

import dataclasses
import unittest

from geraniumrail.control.backend_registry import FAR_SUBSET, NEAR_SUBSET, BackendRegistry
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


def announced(number, region='a', sequence=1, **changes):
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


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = BackendRegistry()

    def test_few_servers_are_sent_with_load(self):
        self.registry.observe([announced(number) for number in range(9)], 0)
        difference = self.registry.difference_since(-1, READER)
        self.assertTrue(all(backend.load.running == 3 for backend in difference.backends))
        self.assertEqual(self.registry.difference_since(difference.version, READER).backends, ())

    def test_of_many_servers_all_are_named_and_a_near_part_has_load(self):
        regions = ['a', 'b'] * 100
        self.registry.observe([announced(*each) for each in enumerate(regions)], 0)
        difference = self.registry.difference_since(-1, READER)
        with_load = [backend for backend in difference.backends if backend.load_known]
        near = [backend for backend in with_load if backend.region == 'a']
        self.assertEqual(len(difference.backends), 200)
        self.assertEqual(len(with_load), NEAR_SUBSET + FAR_SUBSET)
        self.assertGreaterEqual(len(near), NEAR_SUBSET)

    def test_load_of_others_is_not_sent_again(self):
        backends = [announced(number) for number in range(200)]
        self.registry.observe(backends, 0)
        held = self.registry.difference_since(-1, READER).version
        renewed = [dataclasses.replace(backend, sequence=2) for backend in backends]
        self.registry.observe(renewed, 1)
        sent = self.registry.difference_since(held, READER)
        self.assertEqual(sent.backends, ())
        self.assertEqual(len(sent.loads), NEAR_SUBSET + FAR_SUBSET)
        row = sent.loads[0]
        known = next(backend for backend in backends if backend.instance == row.i)
        renewed_by_row = row.renew(dataclasses.replace(known, load_known=False))
        self.assertEqual(renewed_by_row, dataclasses.replace(known, sequence=2))

    def test_new_server_of_a_small_service_has_load_at_once(self):
        self.registry.observe([announced(1)], 0)
        held = self.registry.difference_since(-1, READER).version
        self.registry.observe([announced(2)], 1)
        sent = self.registry.difference_since(held, READER).backends
        self.assertEqual([(each.instance, each.load_known) for each in sent], [('engine-2', True)])

    def test_departure_reaches_entries_that_get_no_load(self):
        self.registry.observe([announced(number) for number in range(200)], 0)
        first = self.registry.difference_since(-1, READER)
        without = next(backend for backend in first.backends if not backend.load_known)
        number = int(without.instance.rpartition('-')[2])
        self.registry.observe([announced(number, sequence=2, state='leaving')], 1)
        second = self.registry.difference_since(first.version, READER)
        self.assertEqual([backend.state for backend in second.backends], ['leaving'])
        self.registry.expire(100)
        self.assertIn(without.instance, self.registry.difference_since(second.version, READER).gone)

    def test_reader_of_an_earlier_registry_gets_everything(self):
        later = BackendRegistry(first_version=1000)
        later.observe([announced(1)], 0)
        for held in (-1, 5, 999, 5000):
            self.assertTrue(later.difference_since(held, READER).full)
            self.assertEqual(len(later.difference_since(held, READER).backends), 1)
        self.assertFalse(later.difference_since(1001, READER).full)

    def test_late_announcement_does_not_replace_a_newer_one(self):
        self.registry.observe([announced(1, sequence=5, state='leaving')], 0)
        self.registry.observe([announced(1, sequence=4)], 1)
        self.assertEqual(self.registry.registered_by_instance['engine-1'].backend.state, 'leaving')


if __name__ == '__main__':
    unittest.main()
