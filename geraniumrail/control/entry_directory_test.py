"""Guards the spread of callers over more entries than one answer of the directory holds."""

import collections
import unittest

from geraniumrail.control.entry_directory import EntryDirectory, choose_entries
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.errors.link import NoControlError
from geraniumrail.links.messages import EntryInfo
from geraniumrail.links.requests import EntriesNow

MOST = 64


def entry(number, data_centre, region='klang-valley'):
    return EntryInfo(
        entry=f'{data_centre}-{number}',
        instance=f'{data_centre}-{number}',
        address=f'{data_centre}:{number}',
        peer_address='',
        data_centre=data_centre,
        region=region,
    )


def entries(sizes):
    return tuple(entry(number, name) for name, size in sizes.items() for number in range(size))


class FakeAccess:
    """Answers with a list, or fails."""

    def __init__(self, listed):
        self.listed = listed
        self.calls = 0

    async def call(self, request, limit_s):
        self.calls += 1
        if self.listed is None:
            raise NoControlError(limit_s=limit_s, reason='no leader')
        return EntriesNow(entries=self.listed)


class ChooseTest(unittest.TestCase):
    def test_each_entry_is_given_out_equally_often(self):
        """Pattern: more entries than an answer holds; the last ones never got a caller."""
        sizes = {'shah-alam': 14, 'petaling': 18, 'cheras': 17, 'klang': 14, 'kajang': 14}
        listed = entries(sizes)
        given = collections.Counter()
        for name in sizes:
            chosen = choose_entries(listed, 'klang-valley', name, MOST)
            self.assertEqual(len(chosen), MOST)
            given.update(each.entry for each in chosen)
        self.assertEqual(len(given), len(listed))
        self.assertLessEqual(max(given.values()) - min(given.values()), 1)

    def test_hundreds_of_entries(self):
        sizes = dict.fromkeys(('a', 'b', 'c', 'd', 'e'), 60)
        listed = entries(sizes)
        chosen = choose_entries(listed, 'klang-valley', 'c', MOST)
        self.assertEqual(sum(each.data_centre == 'c' for each in chosen), 60)
        given = {each.entry for name in sizes for each in choose_entries(listed, '', name, MOST)}
        self.assertEqual(len(given), 300)

    def test_answer_stays_the_same(self):
        """Callers close their connections to entries that are missing from a later answer."""
        listed = entries({'a': 50, 'b': 50})
        again = tuple(reversed(listed))
        self.assertEqual(
            choose_entries(listed, '', 'b', MOST), choose_entries(again, '', 'b', MOST)
        )

    def test_entries_of_the_region_come_first(self):
        listed = (*entries({'a': 2}), entry(1, 'far', 'johor'))
        self.assertEqual(choose_entries(listed, 'johor', 'other', 1)[0].data_centre, 'far')

    def test_few_entries_are_all_given_out(self):
        self.assertEqual(len(choose_entries(entries({'a': 2, 'b': 2}), '', 'a', MOST)), 4)


class DirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_last_list_is_repeated_without_a_leader(self):
        clock = ManualClock()
        access = FakeAccess(entries({'a': 2}))
        directory = EntryDirectory(access, clock)
        before = await directory.addresses('', 'a', MOST)
        access.listed = None
        await clock.advance(10)
        self.assertEqual(await directory.addresses('', 'a', MOST), before)
        self.assertEqual(access.calls, 2)

    async def test_leader_is_asked_once_for_many_callers(self):
        access = FakeAccess(entries({'a': 2}))
        directory = EntryDirectory(access, ManualClock())
        for _ in range(50):
            await directory.addresses('', 'a', MOST)
        self.assertEqual(access.calls, 1)


if __name__ == '__main__':
    unittest.main()
