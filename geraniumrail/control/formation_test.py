"""Guards groups without an operator: formed once, repaired after a lost disk or machine."""

import asyncio
import logging
import unittest
from unittest import mock

from geraniumrail.consensus.entry import Stored
from geraniumrail.consensus.founding import founder_id, founding_state
from geraniumrail.control.group_repair import GroupRepair
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.state import commands
from geraniumrail.testing.daemons import NAMES, Daemons
from geraniumrail.testing.virtual_loop import run_virtually

FOUNDERS = NAMES[:3]
LATE = NAMES[3]
VOTERS = 3
CATCH_UP_S = 4.0  # within which the next loss may follow
SEEDS = range(12)


class Group(Daemons):
    """Daemons that form and repair their group by themselves."""

    def __init__(self, seed):
        super().__init__(seed, VOTERS)
        self.version = 0

    def place(self, name, founds=True):
        founding = founding_state(name, FOUNDERS) if founds else None
        unknown = Stored(replica_id=f'{name}.{self.rng.getrandbits(32):08x}')
        self.give_disk(name, founding or unknown)

    async def form(self):
        """Starts the founders in any order; one of them may be killed on the way."""
        order = self.rng.sample(FOUNDERS, len(FOUNDERS))
        for name in order:
            self.place(name)
            await self.start(name)
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        if self.rng.random() < 0.5:
            await self.crash(self.rng.choice(order), down_s=self.rng.uniform(0.1, 3))
        await asyncio.sleep(3)
        await self.revive(at_once=True)
        await self.until(lambda: self.leader() is not None and len(self.groups()) == 1)

    def groups(self):
        return {each.control.replica.status().group_id for each in self.running()}

    def members(self):
        """Returns (name, is a voter, id) of the members as the leader knows them."""
        leader = self.leader()
        members = () if leader is None else leader.control.replica.status().members
        return {(each.address, each.voter, each.replica_id) for each in members}

    def voters(self):
        return sorted(name for name, voter, _ in self.members() if voter)

    async def write(self):
        """Puts a higher version into the log, at whichever daemon leads."""
        self.version += 1
        command = commands.ReplaceDeployment(deployment=Deployment(version=self.version))
        while True:
            leader = self.leader()
            try:
                if leader is not None:
                    return await leader.control.proposer.propose(command)
            except GeraniumrailError:
                continue
            finally:
                await asyncio.sleep(0.1)

    def held(self):
        return self.leader().control.machine.tables.deployment.version

    async def lose_disk(self, name):
        await self.crash(name, down_s=60)
        self.down.pop(name)
        self.place(name, founds=False)
        await asyncio.sleep(0.5)
        await self.start(name)


async def wipe_in_turn(seed):
    """Wipes each founder in turn, as soon as the time to catch up is over."""
    group = Group(seed)
    await group.form()
    problems = []
    for name in FOUNDERS:
        await group.write()
        await group.lose_disk(name)
        await asyncio.sleep(CATCH_UP_S + 1)
        if group.leader() is None:
            problems.append(f'no leader after {name} lost its disk')
            break
        if group.voters() != sorted(FOUNDERS):
            problems.append(f'{name} is no voter again: {group.voters()}')
        if any(found == founder_id(name) for _, _, found in group.members()):
            problems.append(f'{name} is still a member under its old id')
        if group.held() != group.version:
            problems.append(f'version {group.version} was lost')
    await group.stop()
    return problems


async def replace_machine(seed):
    """A voter never comes back; a machine at another address takes its place."""
    group = Group(seed)
    await group.form()
    await group.write()
    gone = group.rng.choice(FOUNDERS)
    await group.crash(gone, down_s=60)
    group.down.pop(gone)
    group.place(LATE)
    await group.start(LATE)
    await asyncio.sleep(2 * CATCH_UP_S)
    found = group.voters() if group.leader() is not None else []
    await group.stop()
    return found, sorted((*(name for name in FOUNDERS if name != gone), LATE))


async def form(seed):
    group = Group(seed)
    await group.form()
    await group.write()
    found = len(group.groups()), group.voters()
    await group.stop()
    return found


class FormationTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_one_group_in_any_order_of_starts(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtually(form(seed)), (1, sorted(FOUNDERS)))

    def test_lost_disks_are_repaired_before_the_next_loss(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtually(wipe_in_turn(seed)), [])

    def test_without_repair_the_second_loss_stops_the_group(self):
        with mock.patch.object(GroupRepair, 'run_once', mock.AsyncMock()):
            self.assertTrue(any(run_virtually(wipe_in_turn(seed)) for seed in range(3)))

    def test_new_machine_takes_the_place_of_a_silent_voter(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found, expected = run_virtually(replace_machine(seed))
                self.assertEqual(found, expected)


class FoundingStateTest(unittest.TestCase):
    def test_all_founders_start_from_the_same_entry(self):
        states = [founding_state(name, FOUNDERS) for name in FOUNDERS]
        shuffled = founding_state(FOUNDERS[0], FOUNDERS[::-1])
        self.assertEqual(len({each.entries for each in (*states, shuffled)}), 1)
        self.assertEqual(len({each.replica_id for each in states}), len(FOUNDERS))

    def test_others_found_nothing(self):
        self.assertIsNone(founding_state('other', FOUNDERS))


if __name__ == '__main__':
    unittest.main()
