"""Guards groups without an operator: only one is formed, and lost members are replaced."""

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
REPLACEMENT = NAMES[3]
VOTERS = 3
CATCH_UP_S = 4.0  # least time between two losses
SEEDS = range(12)


class Group(Daemons):
    """Daemons that form and repair their group without an operator."""

    def __init__(self, seed):
        super().__init__(seed, VOTERS)
        self.version = 0

    def prepare_disk(self, name, is_founder=True):
        founding = founding_state(name, FOUNDERS) if is_founder else None
        unknown = Stored(replica_id=f'{name}.{self.rng.getrandbits(32):08x}')
        self.give_disk(name, founding or unknown)

    async def form(self):
        """Starts the founders in any order; one of them may be killed meanwhile."""
        order = self.rng.sample(FOUNDERS, len(FOUNDERS))
        for name in order:
            self.prepare_disk(name)
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
        """Commits a configuration with a higher version, on the present leader."""
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

    def committed_version(self):
        return self.leader().control.machine.tables.deployment.version

    async def lose_disk(self, name):
        await self.crash(name, down_s=60)
        self.down.pop(name)
        self.prepare_disk(name, is_founder=False)
        await asyncio.sleep(0.5)
        await self.start(name)


async def lose_disks_in_turn(seed):
    """Deletes the disk of each founder in turn, with the time to catch up in between."""
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
            problems.append(f'{name} did not become a voter again: {group.voters()}')
        if any(found == founder_id(name) for _, _, found in group.members()):
            problems.append(f'{name} is still a member under its old id')
        if group.committed_version() != group.version:
            problems.append(f'version {group.version} was lost')
    await group.stop()
    return problems


async def replace_machine(seed):
    """Returns the voters after one was lost and a machine was added, and the expected ones."""
    group = Group(seed)
    await group.form()
    await group.write()
    lost = group.rng.choice(FOUNDERS)
    await group.crash(lost, down_s=60)
    group.down.pop(lost)
    group.prepare_disk(REPLACEMENT)
    await group.start(REPLACEMENT)
    await asyncio.sleep(2 * CATCH_UP_S)
    found = group.voters() if group.leader() is not None else []
    await group.stop()
    return found, sorted((*(name for name in FOUNDERS if name != lost), REPLACEMENT))


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

    def test_members_that_lost_their_disk_are_replaced_before_the_next_loss(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtually(lose_disks_in_turn(seed)), [])

    def test_without_repair_the_second_loss_stops_the_group(self):
        with mock.patch.object(GroupRepair, 'run_once', mock.AsyncMock()):
            self.assertTrue(any(run_virtually(lose_disks_in_turn(seed)) for seed in range(3)))

    def test_new_machine_replaces_a_lost_voter(self):
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

    def test_others_have_no_founding_state(self):
        self.assertIsNone(founding_state('other', FOUNDERS))


if __name__ == '__main__':
    unittest.main()
