"""Guards evacuations: an acknowledged one holds at every entry with a lease, whatever is lost."""

import asyncio
import logging
import random
import unittest

from geraniumrail.control.access import ControlAccess
from geraniumrail.control.evacuations import set_evacuation
from geraniumrail.control.publisher import Publisher
from geraniumrail.control.publisher_test import FakeLeadership, one_report
from geraniumrail.core import codec
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.link import NoControlError
from geraniumrail.links.requests import ChangeEvacuation
from geraniumrail.state.apply_evacuations import END_RETENTION_S, recent_ends
from geraniumrail.state.machine import Machine
from geraniumrail.state.set_evacuation import SetEvacuation
from geraniumrail.testing.daemons import Daemons
from geraniumrail.testing.followers import engine
from geraniumrail.testing.virtual_loop import run_virtually

CENTRE = 'cheras'
BOUND_S = 5.0
CALL_S = 0.9


def change(data_centre, evacuated, after, at=100.0):
    return SetEvacuation(
        data_centre=data_centre, evacuated=evacuated, after=after, operator='o', at=at
    )


def apply(machine, *commands):
    return [
        codec.decode(machine.apply(machine.applied + 1, codec.encode(each))) for each in commands
    ]


class Group:
    """Daemons, and operators that repeat their calls until these are acknowledged."""

    def __init__(self, seed):
        self.daemons = Daemons(seed)
        self.rng = random.Random(seed)

    def accesses(self):
        """Returns the calls of each running daemon, and lets it answer those of the others."""
        return {daemon.name: self.access(daemon) for daemon in self.daemons.running()}

    def access(self, daemon):
        access = ControlAccess(daemon.control, daemon.links, self.rng)
        access.register(daemon.links)
        return access

    async def call(self, evacuated, names=None):
        """Returns when the call is acknowledged, and the time it took."""
        began = self.daemons.clock.now()
        while True:
            accesses = self.accesses()
            access = accesses.get(self.rng.choice(names or list(accesses)))
            try:
                async with asyncio.timeout(1):
                    await access.set_evacuation(CENTRE, evacuated, lambda: True, CALL_S)
                return self.daemons.clock.now() - began
            except (GeraniumrailError, TimeoutError, AttributeError):
                await asyncio.sleep(0.1)

    def lacking(self, evacuated=True):
        """Returns the daemons that serve without the last acknowledged change."""
        return [
            daemon.name
            for daemon in self.daemons.running()
            if daemon.view.holds_lease()
            and (CENTRE in daemon.view.evacuations.data_centres) != evacuated
        ]

    async def settle(self, evacuated=True):
        """Waits for the bound, and then checks for some seconds."""
        await asyncio.sleep(BOUND_S)
        found = set()
        for _ in range(60):
            found |= set(self.lacking(evacuated))
            await asyncio.sleep(0.05)
        return found


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, script, seeds=3):
        async def run(seed):
            group = Group(seed)
            await group.daemons.create()
            await script(group)
            await group.daemons.stop()

        for seed in range(seeds):
            with self.subTest(seed=seed):
                run_virtually(run(seed))

    def test_change_reaches_all_entries_and_a_restart_of_all(self):
        """An acknowledged evacuation was lost with the memory of the processes."""

        async def script(group):
            self.assertLess(await group.call(evacuated=True), 1)
            names = [daemon.name for daemon in group.daemons.running()]
            for name in names:
                await group.daemons.crash(name, 0)
            await group.daemons.revive(at_once=True)
            await group.daemons.until(lambda: group.daemons.leader() is not None)
            self.assertEqual(await group.settle(), set())
            views = [daemon.view for daemon in group.daemons.running()]
            self.assertTrue(all(view.holds_lease() for view in views))
            await group.call(evacuated=False)
            self.assertEqual(await group.settle(evacuated=False), set())

        self.play(script)

    def test_leader_ends_between_accepting_and_acknowledging(self):
        """The call of an ended leader was committed after a later change, and undid it."""

        async def script(group):
            leader = group.daemons.leader().name
            first = asyncio.create_task(group.call(evacuated=True, names=[leader]))
            await asyncio.sleep(group.rng.uniform(0, 0.02))
            await group.daemons.crash(leader, 60)
            first.cancel()
            await group.call(evacuated=True)
            self.assertEqual(await group.settle(), set())
            await group.call(evacuated=False)
            await group.daemons.revive(at_once=True)
            self.assertEqual(await group.settle(evacuated=False), set())

        self.play(script, seeds=6)

    def test_late_call_does_not_undo_a_later_one(self):
        """A forwarded call arrived when its operator had repeated it and had gone on."""

        async def script(group):
            leader = group.daemons.leader().name
            other = next(name for name in ('b', 'c', 'a') if name != leader)
            access = group.accesses()[other]

            async def ask(request, limit_s):
                if isinstance(request, ChangeEvacuation):
                    group.daemons.net.cut([other], [leader])
                return await access.call(request, limit_s)

            wanted = ChangeEvacuation(data_centre=CENTRE, evacuated=True, after=0, operator='o')
            with self.assertRaises(NoControlError):
                await set_evacuation(wanted, ask, group.daemons.clock.now, CALL_S, lambda: True)
            await group.call(evacuated=True, names=[leader])
            await group.call(evacuated=False, names=[leader])
            group.daemons.net.heal()
            self.assertEqual(await group.settle(evacuated=False), set())

        self.play(script)

    def test_nothing_is_proposed_for_a_caller_that_has_left(self):
        """A control process that was frozen took up the call of an operator who had gone on."""

        async def script(group):
            access = next(iter(group.accesses().values()))
            with self.assertRaises(NoControlError):
                await access.set_evacuation(CENTRE, True, lambda: False, CALL_S)
            tables = group.daemons.leader().control.machine.tables
            self.assertEqual(tables.last_evacuation_change, 0)

        self.play(script, seeds=1)

    def test_two_operators_at_once(self):
        """Each gets its acknowledgement; all entries have what came last in the log."""

        async def script(group):
            for _ in range(4):
                await asyncio.gather(group.call(evacuated=True), group.call(evacuated=False))
            tables = group.daemons.leader().control.machine.tables
            evacuated = CENTRE in tables.evacuations_by_data_centre
            self.assertEqual(await group.settle(evacuated), set())
            await group.call(evacuated=not evacuated)
            self.assertEqual(await group.settle(not evacuated), set())

        self.play(script)

    def test_partitioned_leader_and_its_entry(self):
        """An entry that is cut off with an old leader served on without the evacuation."""

        async def script(group):
            leader = group.daemons.leader().name
            group.daemons.net.isolate([leader])
            others = [name for name in ('a', 'b', 'c') if name != leader]
            await group.call(evacuated=True, names=others)
            self.assertEqual(await group.settle(), set())
            group.daemons.net.heal()
            self.assertEqual(await group.settle(), set())
            self.assertTrue(all(each.view.holds_lease() for each in group.daemons.running()))

        self.play(script)


class StateTest(unittest.IsolatedAsyncioTestCase):
    def test_outdated_change_has_no_effect(self):
        machine = Machine()
        first, late, repeated = apply(
            machine, change('a', True, 0), change('a', False, 0), change('a', True, 1)
        )
        self.assertTrue(first.is_current)
        self.assertFalse(late.is_current)
        self.assertEqual((repeated.is_current, repeated.number), (True, 1))
        self.assertEqual(list(machine.tables.evacuations_by_data_centre), ['a'])

    def test_ends_are_kept_for_a_minute_and_in_snapshots(self):
        """Whether returned servers are cold was lost with the leader that ended the evacuation."""
        machine = Machine()
        apply(machine, change('a', True, 0), change('b', True, 1), change('a', False, 2, at=200))
        restored = Machine()
        restored.restore(machine.snapshot())
        self.assertEqual(restored.tables, machine.tables)
        self.assertEqual(recent_ends(restored.tables, 200 + END_RETENTION_S), {'a': 200})
        self.assertEqual(recent_ends(restored.tables, 201 + END_RETENTION_S), {})
        apply(restored, change('b', False, 3, at=300))
        self.assertEqual(restored.tables.evacuation_ends_by_data_centre, {'b': 300})

    async def test_servers_count_as_cold_after_an_evacuation(self):
        """Servers that had become cold meanwhile looked idle to all entries, and warm."""
        machine, clock = Machine(), ManualClock(1000)
        service = ServiceSpec(name='llm', cold_start_s=3, cold_per_s=7)
        machine.tables.deployment = Deployment(version=1, services=(service,))
        publisher = Publisher(machine, FakeLeadership(lambda: 1), clock)
        publisher.became_leader(1)
        backend = engine('i-1', 1, service='llm', data_centre='a')
        publisher.receive_announcement(backend)
        apply(machine, change('a', True, 0), change('a', False, 1, at=clock.wall()))
        self.assertIn('i-1', publisher.cold_board.rates('e'))
        publisher.became_leader(2)
        await clock.advance(0.5)
        publisher.receive_announcement(backend)  # an entry may relay one of before
        publisher.tick()
        self.assertIn('i-1', publisher.cold_board.rates('e'))
        await clock.advance(3)
        publisher.tick()
        self.assertNotIn('i-1', publisher.cold_board.rates('e') or ())

    async def test_first_update_has_the_present_list(self):
        """An entry kept an evacuation that ended while it followed another leader."""
        machine = Machine()
        for expected in ((), ('a',)):
            publisher = Publisher(machine, FakeLeadership(lambda: 1), ManualClock())
            updates = publisher.stream_updates(one_report())
            self.assertEqual((await anext(updates)).evacuated, expected)
            await updates.aclose()
            apply(machine, change('a', True, 0))


if __name__ == '__main__':
    unittest.main()
