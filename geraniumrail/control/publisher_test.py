"""Guards the streams to entries across changes of leadership, and the list of entries."""

import asyncio
import unittest

from geraniumrail.control.leadership import Leadership
from geraniumrail.control.publisher import Publisher
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.state.machine import Machine

ELECTED_AT_S = 0.4
INFO = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')


class SlowClock(ManualClock):
    """A clock that advances only by sleeping."""

    def __init__(self):
        super().__init__(0)

    async def sleep(self, seconds):
        self._now += seconds


class FakeLeadership(Leadership):
    """A leadership whose term and election are controlled by the test."""

    def __init__(self, require_term, is_leader_known=lambda: True):
        self.require_term = require_term
        self.is_leader_known = is_leader_known
        self.is_active = is_leader_known


async def one_report():
    yield EntryReport(sequence=1, info=INFO)
    await asyncio.Event().wait()


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_ends_with_its_leadership(self):
        """A later leadership sent differences to a registry that the entry never received."""
        term = [1]
        leadership = FakeLeadership(lambda: term[0])
        publisher = Publisher(Machine(), leadership, ManualClock())

        async def reports():
            yield EntryReport(sequence=1, info=INFO)
            term[0] = 2
            yield EntryReport(sequence=2, info=INFO)

        updates = publisher.stream_updates(reports())
        with self.assertRaises(NotLeaderError):
            async for update in updates:
                self.assertEqual(update.term, 1)

    async def test_stream_that_is_opened_during_an_election_is_served_after_it(self):
        """After a restart of all processes entries connect before there is a leader; each was
        refused and searched all members again."""
        clock = SlowClock()
        leadership = FakeLeadership(lambda: 1, lambda: clock.now() >= ELECTED_AT_S)
        publisher = Publisher(Machine(), leadership, clock)
        updates = publisher.stream_updates(one_report())
        self.assertEqual((await anext(updates)).term, 1)
        self.assertLess(clock.now(), ELECTED_AT_S + 0.1)
        await updates.aclose()

    async def test_stream_is_refused_if_the_election_takes_too_long(self):
        clock = SlowClock()

        def refuse():
            raise NotLeaderError(leader=None)

        leadership = FakeLeadership(refuse, lambda: False)
        updates = Publisher(Machine(), leadership, clock).stream_updates(one_report())
        with self.assertRaises(NotLeaderError):
            await anext(updates)
        self.assertLess(clock.now(), 1.2)

    async def test_entry_is_listed_only_after_it_has_applied_an_update(self):
        """Callers that got the address of an entry before its first update were refused, since it
        had no lease yet."""
        publisher = Publisher(Machine(), FakeLeadership(lambda: 1), SlowClock())
        publisher.became_leader(1)
        updates = publisher.stream_updates(one_report())
        first = await anext(updates)
        self.assertEqual([each.entry for each in first.entries], [])
        await updates.aclose()

    async def test_entry_that_lost_its_lease_is_not_listed(self):
        """A frozen entry resumed and reported without a lease; callers got its address."""
        publisher = Publisher(Machine(), FakeLeadership(lambda: 1), SlowClock())
        publisher.became_leader(1)
        listed = []

        async def reports():
            for sequence, holds_lease in enumerate((True, False, True), 1):
                yield EntryReport(sequence=sequence, info=INFO, holds_lease=holds_lease)
                listed.append(bool(publisher.leases.public_entries()))
            await asyncio.Event().wait()

        updates = publisher.stream_updates(reports())
        while len(listed) < 3:
            await anext(updates)
        self.assertEqual(listed, [True, False, True])
        await updates.aclose()


if __name__ == '__main__':
    unittest.main()
