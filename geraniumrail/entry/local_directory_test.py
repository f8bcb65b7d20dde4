"""Guards the distribution of callers when there are more entries than one answer holds."""

import collections
import unittest

from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.route_table import RouteTable
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.local_directory import LocalDirectory, choose_entries
from geraniumrail.forwarding.testing import route
from geraniumrail.links.messages import EntryInfo
from geraniumrail.routing.backend_tracker import BackendTracker

MAX_ENTRIES = 64


def entry(number, data_centre, region='klang-valley', capacity=1.0):
    return EntryInfo(
        entry=f'{data_centre}-{number}',
        instance=f'{data_centre}-{number}',
        address=f'{data_centre}:{number}',
        peer_address='',
        data_centre=data_centre,
        region=region,
        capacity=capacity,
    )


def entries(sizes):
    return tuple(entry(number, name) for name, size in sizes.items() for number in range(size))


class ChooseTest(unittest.TestCase):
    def test_each_entry_is_returned_equally_often(self):
        """With more entries than an answer holds, the last ones were never returned."""
        sizes = {'shah-alam': 14, 'petaling': 18, 'cheras': 17, 'klang': 14, 'kajang': 14}
        listed = entries(sizes)
        returned = collections.Counter()
        for name in sizes:
            chosen = choose_entries(listed, 'klang-valley', name, MAX_ENTRIES)
            self.assertEqual(len(chosen), MAX_ENTRIES)
            returned.update(each.entry for each in chosen)
        self.assertEqual(len(returned), len(listed))
        self.assertLessEqual(max(returned.values()) - min(returned.values()), 1)

    def test_hundreds_of_entries(self):
        sizes = dict.fromkeys(('a', 'b', 'c', 'd', 'e'), 60)
        listed = entries(sizes)
        chosen = choose_entries(listed, 'klang-valley', 'c', MAX_ENTRIES)
        self.assertEqual(sum(each.data_centre == 'c' for each in chosen), 60)
        returned = {
            each.entry for name in sizes for each in choose_entries(listed, '', name, MAX_ENTRIES)
        }
        self.assertEqual(len(returned), 300)

    def test_answer_does_not_depend_on_the_order_of_entries(self):
        """Callers close their connections to entries that are missing from a later answer."""
        listed = entries({'a': 50, 'b': 50})
        reordered = tuple(reversed(listed))
        self.assertEqual(
            choose_entries(listed, '', 'b', MAX_ENTRIES),
            choose_entries(reordered, '', 'b', MAX_ENTRIES),
        )

    def test_entries_of_the_region_come_first(self):
        listed = (*entries({'a': 2}), entry(1, 'far', 'johor'))
        self.assertEqual(choose_entries(listed, 'johor', 'other', 1)[0].data_centre, 'far')

    def test_few_entries_are_all_returned(self):
        self.assertEqual(len(choose_entries(entries({'a': 2, 'b': 2}), '', 'a', MAX_ENTRIES)), 4)


class CapacityTest(unittest.TestCase):
    """63 small and 20 large entries in three data centres."""

    def setUp(self):
        names = ('a', 'b', 'c')
        small = (entry(at, name, capacity=0.387) for name in names for at in range(21))
        large = (entry(at + 50, name, capacity=1.29) for name in names for at in range(7))
        self.listed = (*small, *large)[:-1]
        self.names = names

    def chosen(self, name):
        return choose_entries(self.listed, 'klang-valley', name, MAX_ENTRIES)

    def test_callers_spread_by_capacity(self):
        """Small entries got as many callers as those with three times their processor."""
        parts = collections.Counter()
        for name in self.names:
            answer = self.chosen(name)
            parts.update({each.entry: 1 / len(answer) for each in answer})
        shares = {each.entry: parts[each.entry] / each.capacity for each in self.listed}
        self.assertEqual(len(parts), len(self.listed))  # none is left out
        self.assertLess(max(shares.values()) / min(shares.values()), 1.3)

    def test_large_entries_that_leave_move_no_other_caller(self):
        """Callers that are sent elsewhere lose the connections that they hold."""
        before = {each.entry for each in self.chosen('b')}
        self.listed = tuple(each for each in self.listed if each.entry != 'a-50')
        self.assertEqual(before - {each.entry for each in self.chosen('b')}, {'a-50'})

    def test_entries_of_one_class_are_alike(self):
        """Machines of one class differ by some percent; all of them serve all callers."""
        listed = tuple(entry(at, 'a', capacity=1.2 + at / 50) for at in range(8))
        self.assertEqual(len(choose_entries(listed, '', 'b', MAX_ENTRIES)), 8)

    def test_small_entries_serve_all_callers_without_large_ones(self):
        self.listed = tuple(each for each in self.listed if each.capacity < 1)
        self.assertEqual(len(self.chosen('a')), 63)


class LocalDirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.view = ClusterView(self.clock, BackendTracker())
        self.directory = LocalDirectory('a-0', self.view)
        self.view.entries = entries({'a': 2, 'b': 1})
        self.view._renew(self.clock.now() + 4)

    def listed(self):
        return sorted(self.directory.addresses('', 'a', MAX_ENTRIES))

    async def test_last_list_is_given_out_without_a_leader(self):
        """The list stays known while the entry may serve; then callers ask another entry."""
        self.assertEqual(self.listed(), ['a:0', 'a:1', 'b:0'])
        await self.clock.advance(3)
        self.assertEqual(self.listed(), ['a:0', 'a:1', 'b:0'])
        await self.clock.advance(2)
        self.assertEqual(self.listed(), [])

    def listed_for(self, *lists, region='klang-valley'):
        """Returns the addresses for a host whose routes have these allowed regions."""
        routes = tuple(
            route(name=str(at), host='h', prefix=f'/{at}/', allowed_regions=regions)
            for at, regions in enumerate(lists)
        )
        self.view.table = RouteTable(Deployment(version=1, routes=routes))
        return sorted(self.directory.addresses(region, 'a', MAX_ENTRIES, 'h:80'))

    async def test_host_with_allowed_regions(self):
        """Callers were sent to entries in regions where their requests must not be handled."""
        regions = ('klang-valley', 'johor', 'penang')
        self.view.entries = tuple(entry(1, region[0], region) for region in regions)
        self.assertEqual(self.listed_for(()), ['j:1', 'k:1', 'p:1'])
        self.assertEqual(self.listed_for(('johor',)), ['j:1', 'k:1'])
        self.assertEqual(self.listed_for(('johor',), ('johor', 'penang'), ()), ['j:1', 'k:1'])
        self.assertEqual(self.listed_for(('johor',), ('penang',)), ['k:1'])
        self.assertEqual(self.listed_for(('sabah',), region='perak'), ['j:1', 'k:1', 'p:1'])
        self.assertEqual(self.listed_for(('johor',), region='perak'), ['j:1'])

    async def test_leaving_entry_is_not_given_out(self):
        """A planned stop begins before the leader has heard of it."""
        self.directory.is_leaving = True
        self.assertEqual(self.listed(), ['a:1', 'b:0'])


if __name__ == '__main__':
    unittest.main()
