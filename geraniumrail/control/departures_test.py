"""Guards that a backend server that has left gets no new work, and that its next start does.

Late announcements, lost leases, new leaders and restarted entries are played in virtual time.
"""

import asyncio
import contextlib
import logging
import unittest

from geraniumrail.control.departures import Departures
from geraniumrail.core.departure import LAST_SEQUENCE, Departure
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.errors.consensus import NoQuorumError
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.state.apply import apply
from geraniumrail.state.apply_departures import DEPARTURE_RETENTION_S, MAX_DEPARTURES
from geraniumrail.state.record_departures import RecordDepartures
from geraniumrail.state.tables import Tables, TablesImage
from geraniumrail.testing.followers import Leader, engine
from geraniumrail.testing.virtual_loop import LoopClock, run_virtually

MS_PER_S = 1000
SERVICE = 'llm'
ENGINES = 880
LEASE_S = 6.0
PAST_LEASE_S = LEASE_S + 1
INFO = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')


def now_ms():
    return int(LoopClock().now() * MS_PER_S)


class Group:
    """A control leader, and one entry with a stream to it; times and leaders are the test's."""

    def __init__(self):
        self.leader = Leader(self.make_jobs)
        self.view = ClusterView(LoopClock(), BackendTracker())
        self.born_ms = now_ms()

    def make_jobs(self, leader):
        return [Departures(leader.machine, leader.publisher, leader, LoopClock().wall)]

    @property
    def departures(self):
        return self.leader.jobs[0]

    @property
    def table(self):
        return self.leader.machine.tables.departures_by_instance

    def announce(self, sequence, instance='i-1', born_ms=None, **changes):
        incarnation = self.born_ms if born_ms is None else born_ms
        self.leader.publisher.receive_announcement(
            engine(instance, incarnation, sequence=sequence, **changes)
        )

    async def announce_leaving(self, sequence):
        leaving = engine('i-1', self.born_ms, sequence=sequence, state='leaving')
        self.leader.publisher.receive_announcement(leaving)
        await self.departures.record_leaving(leaving)

    async def wait(self, seconds):
        await asyncio.sleep(seconds)
        self.leader.publisher.tick()
        await self.departures.run_once()

    def registered(self):
        return list(self.leader.publisher.registry.registered_by_instance)

    async def update_entry(self, registry_version=-1):
        """Gives the entry the first update of a new stream."""

        async def reports():
            yield EntryReport(sequence=1, info=INFO, registry_version=registry_version)
            await asyncio.Event().wait()

        stream = self.leader.publisher.stream_updates(reports())
        async with contextlib.aclosing(stream) as updates:
            self.view.take(await anext(updates), LoopClock().now())

    def candidates(self):
        return [each.instance for each in self.view.candidates(SERVICE)]


def virtually(play):
    """Runs a test in virtual time."""

    def run(case):
        run_virtually(play(case))

    run.__name__, run.__doc__ = play.__name__, play.__doc__
    return run


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @virtually
    async def test_withdrawal_without_an_incarnation_means_the_present_one(self):
        """Such a withdrawal was ignored, so entries went on sending requests for seconds."""
        group = Group()
        group.announce(5)
        await group.departures.withdraw('i-1', 0)
        self.assertEqual(group.registered(), [])
        self.assertEqual(group.table['i-1'].incarnation, group.born_ms)

    @virtually
    async def test_late_announcement_does_not_register_it_again(self):
        """The engine got requests for the lease of a heartbeat that was sent before it left."""
        group = Group()
        group.announce(5)
        await group.departures.withdraw('i-1', group.born_ms)
        group.announce(9)
        self.assertEqual(group.registered(), [])

    @virtually
    async def test_late_announcement_after_a_lost_lease_does_not_register_it_again(self):
        """An engine that was cut off deregistered; a heartbeat that the cut had held up made
        entries send it requests."""
        group = Group()
        group.announce(5)
        await group.wait(PAST_LEASE_S)
        self.assertEqual(group.registered(), [])
        await group.departures.withdraw('i-1', 0)
        group.announce(6)
        self.assertEqual(group.registered(), [])

    @virtually
    async def test_new_leader_ignores_the_late_announcement(self):
        """A new leader did not know which engines had left, and took an old heartbeat."""
        group = Group()
        group.announce(5)
        await group.departures.withdraw('i-1', 0)
        group.leader.restart()
        group.announce(6)
        self.assertEqual(group.registered(), [])

    @virtually
    async def test_new_leader_ignores_a_late_announcement_from_before_a_drain(self):
        """A drain that was acknowledged was known to one leader only, for one lease."""
        group = Group()
        group.announce(5)
        await group.announce_leaving(7)
        group.leader.restart()
        group.announce(6)
        self.assertEqual(group.registered(), [])
        group.announce(8, state='leaving')
        self.assertEqual(group.registered(), ['i-1'])

    @virtually
    async def test_late_announcement_from_before_a_drain_is_ignored_after_the_lease(self):
        """The end of the lease removed the only record of the drain."""
        group = Group()
        group.announce(5)
        await group.announce_leaving(7)
        await group.wait(PAST_LEASE_S)
        group.announce(6)
        self.assertEqual(group.registered(), [])

    @virtually
    async def test_drain_that_an_entry_relayed_is_recorded(self):
        """Backend servers that announce themselves at entries would be known to one leader only."""
        group = Group()
        group.announce(7, state='leaving')
        await group.wait(0.2)
        group.leader.restart()
        group.announce(6)
        self.assertEqual(group.registered(), [])

    @virtually
    async def test_second_drain_is_recorded_after_a_return(self):
        """The record of the first drain would let announcements from between the two pass."""
        group = Group()
        await group.announce_leaving(3)
        group.announce(5)
        await group.announce_leaving(7)
        await group.announce_leaving(8)
        group.leader.restart()
        group.announce(6)
        self.assertEqual(group.registered(), [])
        self.assertEqual(group.table['i-1'].sequence, 6)

    @virtually
    async def test_new_incarnation_starts_with_a_lower_sequence(self):
        """A later start of the same engine must not be kept out by the departure."""
        group = Group()
        group.announce(5)
        await group.departures.withdraw('i-1', group.born_ms)
        group.announce(1, born_ms=group.born_ms + 1)
        group.announce(8, state='leaving')
        registered = group.leader.publisher.registry.registered_by_instance['i-1']
        self.assertEqual(registered.backend.state, 'serving')

    @virtually
    async def test_later_start_is_used_at_once_after_an_unknown_one_has_left(self):
        """A departure without a known start must not keep out starts that come after it."""
        group = Group()
        await group.departures.withdraw('i-1', 0)
        await asyncio.sleep(2)
        for _ in range(2):
            group.announce(1, born_ms=now_ms())
            self.assertEqual(group.registered(), ['i-1'])
            await group.update_entry()
            self.assertEqual(group.candidates(), ['i-1'])
            group.leader.restart()

    @virtually
    async def test_withdrawal_of_an_old_incarnation_keeps_the_new_one(self):
        """A late deregistration that names its start must not remove a later start."""
        group = Group()
        group.announce(5)
        group.announce(1, born_ms=group.born_ms + 1)
        await group.departures.withdraw('i-1', group.born_ms)
        self.assertEqual(group.registered(), ['i-1'])

    @virtually
    async def test_departure_ends_if_the_server_goes_on_announcing_itself(self):
        """A late deregistration without a start must not keep a running engine out for good."""
        group = Group()
        group.announce(5)
        await group.departures.withdraw('i-1', 0)
        await group.wait(DEPARTURE_RETENTION_S + 1)
        group.announce(50)
        self.assertEqual(group.registered(), ['i-1'])
        await group.update_entry()
        self.assertEqual(group.candidates(), ['i-1'])

    @virtually
    async def test_departure_is_acknowledged_only_when_it_is_recorded(self):
        """A leader that has lost the majority acknowledged what no later leader knew."""

        async def refuse(command):
            raise NoQuorumError(group='')

        group = Group()
        group.announce(5)
        group.leader.propose = refuse
        with self.assertRaises(NoQuorumError):
            await group.departures.withdraw('i-1', 0)
        with self.assertRaises(NoQuorumError):
            await group.announce_leaving(6)

    @virtually
    async def test_entry_that_missed_the_departure_drops_the_server(self):
        """A new leader that had never heard of the engine did not tell entries that it had left."""
        group = Group()
        group.announce(5, lease_s=900)
        await group.update_entry()
        self.assertEqual(group.candidates(), ['i-1'])
        await group.departures.withdraw('i-1', 0)
        group.leader.restart()
        await group.update_entry(group.view.registry_version)
        self.assertEqual(group.candidates(), [])

    @virtually
    async def test_entry_ignores_a_late_announcement_and_takes_a_later_start(self):
        """An announcement that reached the entry itself brought back an engine that had left."""
        group = Group()
        group.announce(5)
        await group.departures.withdraw('i-1', 0)
        await group.update_entry()
        group.view.observe((engine('i-1', group.born_ms, sequence=6),))
        self.assertEqual(group.candidates(), [])
        group.view.observe((engine('i-1', group.born_ms + 1, sequence=1),))
        self.assertEqual(group.candidates(), ['i-1'])

    @virtually
    async def test_departures_do_not_grow_without_bound(self):
        """Each replacement of all engines of a large deployment added to the records for good."""
        group = Group()
        for number in range(6 * ENGINES):
            await group.departures.withdraw(f'i-{number}', 0)
            self.assertLessEqual(len(group.table), MAX_DEPARTURES)
        await group.wait(DEPARTURE_RETENTION_S + 1)
        self.assertEqual(group.table, {})

    @virtually
    async def test_each_departure_is_sent_to_an_entry_once(self):
        """The whole list with each change would exceed the budget of the control links."""
        group = Group()
        sent = []

        async def reports():
            yield EntryReport(sequence=1, info=INFO)
            await asyncio.Event().wait()

        updates = group.leader.publisher.stream_updates(reports())
        async with contextlib.aclosing(updates):
            await anext(updates)
            for name in ('i-1', 'i-2'):
                await group.departures.withdraw(name, 0)
                update = await anext(updates)
                sent.append([each.instance for each in update.departures])
        self.assertEqual(sent, [['i-1'], ['i-2']])


class DepartureTableTest(unittest.TestCase):
    def test_snapshot_keeps_departures_and_their_numbers(self):
        """A member that loads a snapshot and leads must know them, and go on counting."""
        tables = Tables()
        departure = Departure(instance='i-1', incarnation=7, sequence=LAST_SEQUENCE, at=100)
        apply(RecordDepartures(added=(departure,), at=100), tables)
        restored = TablesImage.from_tables(tables).to_tables()
        self.assertEqual(restored.departures_by_instance, tables.departures_by_instance)
        self.assertEqual(restored.last_departure, 1)


if __name__ == '__main__':
    unittest.main()
