"""Guards entries against a stream that outlives the leadership that opened it."""

import asyncio
import unittest

from geraniumrail.control.leadership import Leadership
from geraniumrail.control.publisher import Publisher
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.state.machine import Machine

ELECTED_AT = 0.4
INFO = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')


class SlowClock(ManualClock):
    """Time passes only while somebody sleeps."""

    def __init__(self):
        super().__init__(0)

    async def sleep(self, seconds):
        self._now += seconds


class FakeLeadership(Leadership):
    """An election that ends when the test says so."""

    def __init__(self, require_term, is_leader_known=lambda: True):
        self.require_term = require_term
        self.is_leader_known = is_leader_known


async def one_report():
    yield EntryReport(sequence=1, info=INFO)
    await asyncio.Event().wait()


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_ends_with_its_leadership(self):
        """A later leadership sent differences against a registry that the entry never got."""
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

    async def test_entry_is_answered_when_the_election_is_over(self):
        """Pattern: after a common restart entries come before there is a leader; each was sent
        away and looked through all members again."""
        clock = SlowClock()
        leadership = FakeLeadership(lambda: 1, lambda: clock.now() >= ELECTED_AT)
        publisher = Publisher(Machine(), leadership, clock)
        updates = publisher.stream_updates(one_report())
        self.assertEqual((await anext(updates)).term, 1)
        self.assertLess(clock.now(), ELECTED_AT + 0.1)
        await updates.aclose()

    async def test_entry_is_sent_away_from_an_election_that_takes_long(self):
        clock = SlowClock()

        def refuse():
            raise NotLeaderError(leader=None)

        leadership = FakeLeadership(refuse, lambda: False)
        updates = Publisher(Machine(), leadership, clock).stream_updates(one_report())
        with self.assertRaises(NotLeaderError):
            await anext(updates)
        self.assertLess(clock.now(), 1.2)

    async def test_entry_is_given_out_after_it_has_taken_an_update(self):
        """Pattern: callers get the address of an entry that has just started, reach it before its
        first update, and are refused since it has no lease yet."""
        publisher = Publisher(Machine(), FakeLeadership(lambda: 1), SlowClock())
        publisher.became_leader(1)
        updates = publisher.stream_updates(one_report())
        first = await anext(updates)
        self.assertEqual([each.entry for each in first.entries], [])
        await updates.aclose()

    async def test_entry_that_lost_its_lease_is_not_given_out(self):
        """Pattern: a frozen entry wakes, reports with a lease that ran out, and callers come."""
        publisher = Publisher(Machine(), FakeLeadership(lambda: 1), SlowClock())
        publisher.became_leader(1)
        held = []

        async def reports():
            for sequence, holds_lease in enumerate((True, False, True), 1):
                yield EntryReport(sequence=sequence, info=INFO, holds_lease=holds_lease)
                held.append(bool(publisher.leases.public_entries()))
            await asyncio.Event().wait()

        updates = publisher.stream_updates(reports())
        while len(held) < 3:
            await anext(updates)
        self.assertEqual(held, [True, False, True])
        await updates.aclose()


if __name__ == '__main__':
    unittest.main()
