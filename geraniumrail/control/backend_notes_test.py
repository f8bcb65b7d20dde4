"""Guards entries that restart together with the leader against overloading a few engines."""

import asyncio
import types
import unittest

from geraniumrail.control.backend_notes import ANNOUNCEMENT_WAIT_S, BackendNotes
from geraniumrail.control.departures import Departures
from geraniumrail.control.publisher import NOTES_DURATION_S, Publisher
from geraniumrail.control.publisher_test import FakeLeadership
from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.links.messages import ControlUpdate, EntryInfo, EntryReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.state.machine import Machine

INFO = EntryInfo(entry='e', instance='e', address='', peer_address='', data_centre='', region='')


def engine(name, **fields):
    return Backend(
        instance=name,
        service='model-bench',
        address='10.0.0.1:80',
        data_centre='cheras',
        region='klang-valley',
        version='v1',
        **{'sequence': 5, 'load': LoadReport(running=9, slots=64), **fields},
    )


class Control:
    """A leader whose log commits immediately; the state machine is kept across leaders."""

    def __init__(self, machine, clock):
        self.machine = machine
        self.clock = clock
        self.written = []
        self.proposer = types.SimpleNamespace(propose=self.propose)
        leadership = FakeLeadership(lambda: 1)
        self.publisher = Publisher(machine, leadership, clock)
        self.publisher.became_leader(1)
        self.departures = Departures(machine, self.publisher, self.proposer, clock.wall)
        self.notes = BackendNotes(self)

    def now(self):
        return self.clock.now()

    async def propose(self, command):
        self.written.append(command)
        return self.machine.apply(len(self.written), codec.encode(command))

    async def run_notes(self):
        await self.notes.run_once()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def first_update(self, registry_version=-1):
        async def reports():
            yield EntryReport(sequence=1, info=INFO, registry_version=registry_version)
            await asyncio.Event().wait()

        updates = self.publisher.stream_updates(reports())
        update = await anext(updates)
        await updates.aclose()
        return update


class BackendNotesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock(100)
        self.machine = Machine()
        self.leader = Control(self.machine, self.clock)
        for name in ('a', 'b'):
            self.leader.publisher.receive_announcement(engine(name))
        await self.leader.run_notes()

    def restart(self):
        """Restarts all processes: the state machine is restored, everything else is new."""
        machine = Machine()
        machine.restore(self.machine.snapshot())
        self.machine = machine
        self.leader = Control(machine, self.clock)

    async def noted_names(self, **fields):
        update = await self.leader.first_update(**fields)
        return {note.instance for note in update.noted}

    async def test_restarted_entry_gets_the_recorded_engines(self):
        """After a restart of all processes announcements arrive over 1.2 s; the engines that were
        announced first got all requests."""
        self.restart()
        self.leader.publisher.receive_announcement(engine('b', sequence=6))
        self.assertEqual(await self.noted_names(), {'a'})

    async def test_running_entry_gets_no_notes(self):
        """The notes may name an engine whose departure the entry has received."""
        self.restart()
        self.assertEqual(await self.noted_names(registry_version=7), set())

    async def test_leaving_engine_is_removed_from_the_notes(self):
        self.leader.publisher.receive_announcement(engine('a', sequence=6, state='leaving'))
        await self.leader.departures.withdraw('b', 0)
        await self.leader.run_notes()
        self.assertEqual(self.machine.tables.noted_by_instance, {})
        self.restart()
        await self.leader.departures.withdraw('a', 0)
        self.assertEqual(await self.noted_names(), set())

    async def test_notes_are_removed_after_the_announcements(self):
        self.restart()
        await self.leader.run_notes()
        self.assertEqual(set(self.machine.tables.noted_by_instance), {'a', 'b'})
        await self.clock.advance(ANNOUNCEMENT_WAIT_S)
        await self.leader.run_notes()
        self.assertEqual(set(self.machine.tables.noted_by_instance), set())

    async def test_unchanged_engines_are_written_once(self):
        self.leader.publisher.receive_announcement(engine('a', sequence=6))
        await self.leader.run_notes()
        self.assertEqual(len(self.leader.written), 1)

    async def test_no_notes_are_sent_after_the_first_announcements(self):
        self.restart()
        await self.clock.advance(NOTES_DURATION_S)
        self.assertEqual(await self.noted_names(), set())


class NotedViewTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(100)
        self.view = ClusterView(self.clock, BackendTracker())

    def take(self, **fields):
        self.view.take(ControlUpdate(term=1, answers=1, lease_s=4, revision=0, **fields), 100)

    def candidates(self):
        return [each.instance for each in self.view.candidates('model-bench')]

    def test_noted_engine_is_a_candidate_until_its_lease_ends(self):
        self.take(noted=(engine('a', sequence=0, lease_s=1.0),))
        self.assertEqual(self.candidates(), ['a'])
        asyncio.run(self.clock.advance(1.1))
        self.assertEqual(self.candidates(), [])

    def test_announcement_replaces_the_note(self):
        self.take(noted=(engine('a', sequence=0, lease_s=1.0),))
        self.take(backends=(engine('a', sequence=1),))
        asyncio.run(self.clock.advance(1.1))
        self.assertEqual(self.candidates(), ['a'])

    def test_note_does_not_replace_an_announcement(self):
        self.take(backends=(engine('a', state='leaving'),))
        self.take(noted=(engine('a', sequence=0, lease_s=1.0),))
        self.assertEqual(self.candidates(), [])


if __name__ == '__main__':
    unittest.main()
