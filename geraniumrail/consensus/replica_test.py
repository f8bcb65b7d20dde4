"""Checks the guarantees of the replicated log under the failures that could break them."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.context import Context
from geraniumrail.consensus.entry import Entry, HardState, Stored
from geraniumrail.consensus.leadership import may_commit
from geraniumrail.consensus.membership import Member, Membership
from geraniumrail.consensus.messages import AppendRequest, HelloRequest, VoteRequest
from geraniumrail.consensus.testing import Cluster, Disk
from geraniumrail.core import codec
from geraniumrail.errors.consensus import (
    CommandTooLargeError,
    ConsensusError,
    MembershipError,
    NoGroupError,
    NoQuorumError,
    NotLeaderError,
    ProposalLostError,
    ProposalQueueFullError,
)


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncTearDown(self):
        await self.cluster.stop()

    async def create(self, size=3, **settings):
        self.cluster = await Cluster.create(size, **settings)
        return self.cluster

    def applied(self, name):
        return self.cluster.machines_by_name[name].commands

    async def propose_many(self, count, start=0):
        commands = [b'%d' % number for number in range(start, start + count)]
        for command in commands:
            await self.cluster.propose(command)
        return commands

    async def until_applied(self, commands, names=None):
        names = names or list(self.cluster.replicas_by_name)
        await self.cluster.until(lambda: all(self.applied(name) == commands for name in names))

    def vote(self, name, sender='x.1', **fields):
        replica = self.cluster.replicas_by_name[name]
        request = VoteRequest(
            group='main',
            group_id=replica.status().group_id,
            target=replica.replica_id,
            sender=sender,
            term=50,
            last_index=1000,
            last_term=49,
        )
        return self.cluster.run(replica.answer(dataclasses.replace(request, **fields)))

    async def test_commits_survive_the_loss_of_the_leader(self):
        """A committed command must not be lost when the leader crashes."""
        cluster = await self.create()
        commands = await self.propose_many(20)
        await cluster.crash(cluster.leader())
        await cluster.propose(b'after')
        await self.until_applied([*commands, b'after'])

    async def test_cut_off_leader_stops_within_its_lease(self):
        """A leader that acts after its lease has expired could contradict its successor."""
        cluster = await self.create()
        old = cluster.leader()
        replica = cluster.replicas_by_name[old]
        cluster.network.cut(old)
        await cluster.clock.advance(replica.status().quorum_contact_age_s)
        await cluster.clock.advance(1.5)
        self.assertFalse(replica.is_leader_with_lease())
        with self.assertRaises((NoQuorumError, NotLeaderError)):
            await replica.propose(b'late')
        self.assertIsNone(cluster.leader())
        await cluster.until(lambda: cluster.leader() is not None)
        self.assertNotEqual(cluster.leader(), old)

    async def test_proposals_of_a_cut_off_leader_have_an_unknown_outcome(self):
        """The proposer must learn within the lease that the outcome is unknown."""
        cluster = await self.create()
        cluster.network.cut(cluster.leader())
        with self.assertRaises(ProposalLostError):
            await cluster.run(cluster.replicas_by_name[cluster.leader()].propose(b'cut'), 2)
        cluster.network.heal()
        await cluster.propose(b'after')
        applied = self.applied(cluster.leader())
        self.assertIn(applied, ([b'after'], [b'cut', b'after']))

    async def test_no_quorum_while_the_lease_is_lost(self):
        """Between the end of its lease and of its term a leader must append nothing."""
        cluster = await self.create()
        leader = cluster.replicas_by_name[cluster.leader()]
        cluster.network.cut(cluster.leader())
        await cluster.until(lambda: not leader.is_leader_with_lease())
        last = leader.status().last_index
        with self.assertRaises(NoQuorumError):
            await leader.propose(b'refused')
        with self.assertRaises(NoQuorumError):
            await leader.read_barrier()
        self.assertEqual(leader.status().last_index, last)

    async def test_proposals_beyond_the_limits_are_refused(self):
        """A huge command or an unbounded queue would block the group for all proposers."""
        cluster = await self.create(1, max_pending_proposals=0, max_command_bytes=10)
        with self.assertRaises(ProposalQueueFullError):
            await cluster.replicas_by_name['a'].propose(b'x')
        with self.assertRaises(CommandTooLargeError):
            await cluster.replicas_by_name['a'].propose(bytes(11))

    async def test_one_sided_cut_of_a_follower_does_not_depose_the_leader(self):
        """A follower that receives nothing must not force elections (pre-vote)."""
        cluster = await self.create()
        leader = cluster.replicas_by_name[cluster.leader()]
        term = leader.status().term
        unreached = next(name for name in 'abc' if name != cluster.leader())
        cluster.network.cut_one_way('abc', unreached)
        await cluster.clock.advance(20)
        cluster.network.heal()
        await cluster.clock.advance(10)
        self.assertEqual(leader.status().term, term)
        self.assertTrue(leader.is_leader_with_lease())

    async def lease_holders_while_two_are_cut_off_from_each_other(self):
        """Returns the largest number of replicas that held a lease at the same time."""
        cluster = await self.create()
        leader = cluster.leader()
        other = next(name for name in 'abc' if name != leader)
        cluster.network.cut_one_way(leader, other)
        cluster.network.cut_one_way(other, leader)
        most = 0
        for _ in range(1000):
            await cluster.clock.advance(0.01)
            replicas = cluster.replicas_by_name.values()
            most = max(most, sum(replica.is_leader_with_lease() for replica in replicas))
        return most

    async def test_voters_respect_the_lease_of_a_live_leader(self):
        """A follower cut off from the leader alone must not win votes of replicas that reach it."""
        self.assertEqual(await self.lease_holders_while_two_are_cut_off_from_each_other(), 1)

    async def test_voters_that_ignore_a_live_leader_are_detected(self):
        """Shows that the check above can fail."""
        with mock.patch.object(Context, 'has_leader_contact', lambda context: False):
            self.assertEqual(await self.lease_holders_while_two_are_cut_off_from_each_other(), 2)

    async def test_one_sided_cut_of_the_leader_ends_its_lease(self):
        """A leader that can send but not receive must be replaced."""
        cluster = await self.create()
        old = cluster.leader()
        cluster.network.cut_one_way('abc'.replace(old, ''), old)
        await cluster.until(lambda: cluster.leader() not in {None, old})

    async def test_restart_after_many_commands_loads_a_snapshot(self):
        """The log must be compacted without loss of state."""
        cluster = await self.create()
        commands = await self.propose_many(650)
        await self.until_applied(commands)
        for name in 'abc':
            await cluster.crash(name)
        for name in 'abc':
            status = (await cluster.start(name)).status()
            self.assertGreaterEqual(status.snapshot_index, 500)
            self.assertEqual(cluster.machines_by_name[name].restored, 1)
        await cluster.propose(b'after')
        await self.until_applied([*commands, b'after'])

    async def test_late_follower_is_sent_the_snapshot(self):
        """A follower that lacks entries which were compacted must still catch up."""
        cluster = await self.create(
            snapshot_after_entries=20, keep_entries=3, install_part_bytes=16
        )
        late = next(name for name in 'abc' if name != cluster.leader())
        await cluster.crash(late)
        commands = await self.propose_many(100)
        await cluster.start(late)
        await self.until_applied(commands)
        self.assertEqual(cluster.machines_by_name[late].restored, 1)

    async def test_second_loss_right_after_a_replacement(self):
        """A lost voter is replaced by a learner; the group must then survive the next loss."""
        cluster = await self.create()
        await cluster.start('d')
        await cluster.add('d')
        commands = await self.propose_many(30)
        lost = cluster.leader()
        lost_id = cluster.replicas_by_name[lost].replica_id
        await cluster.crash(lost)
        await cluster.retry(lambda leader: leader.remove(lost_id))
        await cluster.promote('d')
        await cluster.start(lost, lose_disk=True)
        await cluster.add(lost)
        commands += await self.propose_many(5, start=30)
        await cluster.crash(cluster.leader())
        commands += await self.propose_many(5, start=35)
        await self.until_applied(commands)

    async def test_returned_member_with_an_empty_disk_does_not_vote(self):
        """It may have acknowledged entries under its old id that it no longer has."""
        cluster = await self.create()
        await self.propose_many(5)
        lost = next(name for name in 'abc' if name != cluster.leader())
        old_id = cluster.replicas_by_name[lost].replica_id
        await cluster.crash(lost)
        await cluster.start(lost, lose_disk=True)
        cluster.network.granted.clear()
        await cluster.crash(cluster.leader())
        await cluster.clock.advance(30)
        self.assertIsNone(cluster.leader())
        self.assertEqual(cluster.network.granted, [])
        self.assertEqual((await self.vote(lost)).refused, 'belongs to no group')
        self.assertEqual((await self.vote(lost, target=old_id)).refused, 'another replica')
        self.assertEqual(cluster.replicas_by_name[lost].status().term, 0)

    async def test_replica_without_a_group_answers_but_never_campaigns(self):
        cluster = await self.create(1)
        fresh = await cluster.start('b')
        await cluster.clock.advance(30)
        reply = await fresh.answer(HelloRequest(group='main'))
        self.assertEqual((reply.member.replica_id, reply.group_id), (fresh.replica_id, ''))
        self.assertEqual(fresh.status().term, 0)
        with self.assertRaises(NoGroupError):
            await fresh.propose(b'x')

    async def test_vote_survives_a_restart(self):
        """Two votes in one term would allow two leaders."""
        cluster = await self.create()
        self.assertEqual((await self.vote('a')).refused, 'leader is live')
        self.assertTrue((await self.vote('a', transfer=True)).granted)
        await cluster.crash('a')
        await cluster.start('a')
        second = await self.vote('a', sender='y.2', transfer=True)
        self.assertEqual((second.granted, second.refused), (False, 'term'))
        self.assertTrue((await self.vote('a', transfer=True)).granted)

    async def test_restarted_voter_still_respects_the_lease(self):
        """It may have confirmed the lease of a live leader just before it stopped."""
        cluster = await self.create()
        await cluster.crash('b')
        await cluster.start('b')
        self.assertEqual((await self.vote('b')).refused, 'leader is live')

    async def test_common_restart_elects_before_the_timeout(self):
        """All replicas are killed at once; proposals fail until there is a leader."""
        cluster = await self.create()
        for name in 'abc':
            await cluster.crash(name)
        cluster.early = True
        began = cluster.clock.now()
        for name in 'abc':
            await cluster.start(name)
        await cluster.until(lambda: cluster.leader() is not None)
        self.assertLess(cluster.clock.now() - began, ReplicaConfig.election_timeout_s)

    async def test_one_restarted_replica_does_not_depose_the_leader(self):
        cluster = await self.create()
        before, term = cluster.leader(), cluster.replicas_by_name['a'].status().term
        other = next(name for name in 'abc' if name != before)
        await cluster.crash(other)
        cluster.early = True
        await cluster.start(other)
        self.assertEqual((await self.vote(before, early=True)).refused, 'leader was heard')
        await cluster.clock.advance(5)
        self.assertEqual(cluster.leader(), before)
        self.assertEqual(cluster.replicas_by_name['a'].status().term, term)

    async def test_candidate_with_a_shorter_log_gets_no_vote(self):
        await self.create()
        reply = await self.vote('a', last_index=1, last_term=1, transfer=True)
        self.assertEqual(reply.refused, 'log is behind')

    async def test_requests_for_others_are_refused(self):
        """A replica that restarts at an address must refuse requests for an earlier one there."""
        cluster = await self.create()
        replica = cluster.replicas_by_name['b']
        status = replica.status()
        request = AppendRequest(
            group='main',
            group_id=status.group_id,
            target=replica.replica_id,
            sender='x.1',
            address='x',
            term=status.term,
            prev_index=0,
            prev_term=0,
            commit=0,
        )
        for field in ('target', 'group', 'group_id'):
            reply = await replica.answer(dataclasses.replace(request, **{field: 'other'}))
            self.assertTrue(reply.refused)
        old = await replica.answer(dataclasses.replace(request, term=status.term - 1))
        self.assertEqual((old.success, old.term), (False, status.term))

    async def test_only_entries_of_the_current_term_are_committed_by_count(self):
        """An entry of an older term on a majority can still be replaced (Raft, figure 8)."""
        cluster = await self.create()
        journal = cluster.replicas_by_name['a']._context.journal
        self.assertFalse(may_commit(journal, 1, term=journal.hard.term))
        self.assertTrue(may_commit(journal, journal.last_index, term=journal.hard.term))

    async def applied_by_a_leader_whose_old_entry_is_replaced(self):
        """Runs figure 8 of the Raft paper with three members; returns what the leader applied."""
        cluster = self.cluster = Cluster(1, max_append_entries=1)
        members = [Member(replica_id=f'{name}.1', address=name, voter=True) for name in 'abc']
        payload = codec.encode(Membership(group_id='g', members=tuple(members)))
        first = Entry(index=1, term=1, kind='membership', payload=payload)
        logs = {
            'a': (first, Entry(index=2, term=2, payload=b'old')),
            'b': (first,),
            'c': (first, Entry(index=2, term=3, payload=b'new')),
        }
        for name, entries in logs.items():
            stored = Stored(replica_id=f'{name}.1', hard=HardState(term=3), entries=entries)
            cluster.disks_by_name[name] = Disk(stored, cluster.clock, cluster.rng)
            await cluster.start(name)
        cluster.network.cut('c')
        while len(cluster.disks_by_name['b'].load().entries) < 2:
            await cluster.clock.advance(0.0002)
            self.assertLess(cluster.clock.now(), 200)
        cluster.network.cut_one_way('a', 'b')  # the entry of the new term is not delivered
        await cluster.clock.advance(0.1)
        applied = list(self.applied('a'))
        await cluster.crash('a')
        cluster.network.heal()
        await self.until_applied([b'new'])
        return applied

    async def test_old_entry_on_a_majority_is_not_committed(self):
        """One leader would apply the entry and the next would replace it."""
        self.assertEqual(await self.applied_by_a_leader_whose_old_entry_is_replaced(), [])

    async def test_counting_entries_of_older_terms_is_detected(self):
        """Shows that the check above can fail."""
        with mock.patch('geraniumrail.consensus.leadership.may_commit', lambda *given: True):
            applied = await self.applied_by_a_leader_whose_old_entry_is_replaced()
        self.assertEqual(applied, [b'old'])

    async def test_learner_that_has_not_caught_up_is_not_promoted(self):
        """With a voter that lacks the log, one more loss would stop the group."""
        cluster = await self.create()
        absent = Member(replica_id='d.1', address='d')
        await cluster.retry(lambda leader: leader.add_learner(absent))
        leader = cluster.replicas_by_name[cluster.leader()]
        with self.assertRaises(MembershipError):
            await cluster.run(leader.promote('d.1'))

    async def test_removal_that_leaves_no_live_majority_is_refused(self):
        cluster = await self.create()
        dead, live = (name for name in 'abc' if name != cluster.leader())
        await cluster.crash(dead)
        await cluster.clock.advance(2)
        leader = cluster.replicas_by_name[cluster.leader()]
        with self.assertRaises(MembershipError):
            await cluster.run(leader.remove(cluster.replicas_by_name[live].replica_id))

    async def test_concurrent_changes_keep_both_or_refuse_one(self):
        """A change computed before another one committed must not undo it."""
        cluster = await self.create()
        leader = cluster.replicas_by_name[cluster.leader()]
        first = leader.add_learner(Member(replica_id='d.1', address='d'))
        second = leader.add_learner(Member(replica_id='e.1', address='e'))

        async def both():
            return await asyncio.gather(first, second, return_exceptions=True)

        results = await cluster.run(both())
        done = sum(result is None for result in results)
        self.assertEqual(len(leader.status().members), 3 + done)

    async def test_create_group_refuses_a_used_folder(self):
        """A second group on the same data would contradict the first."""
        cluster = await self.create()
        with self.assertRaises(MembershipError):
            await cluster.replicas_by_name['b'].create_group()

    async def test_transfer_moves_leadership_without_a_timeout(self):
        """A planned stop must not leave the group without a leader for an election timeout."""
        cluster = await self.create()
        old = cluster.leader()
        target = next(name for name in 'abc' if name != old)
        started = cluster.clock.now()
        await cluster.run(
            cluster.replicas_by_name[old].transfer_leadership(
                cluster.replicas_by_name[target].replica_id
            )
        )
        await cluster.until(lambda: cluster.leader() == target)
        self.assertLess(cluster.clock.now() - started, 0.5)

    async def test_transfer_request_of_an_earlier_term_is_ignored(self):
        """Its votes would ignore the lease of the leader of the later term."""
        cluster = await self.create()
        follower = next(name for name in 'abc' if name != cluster.leader())
        context = cluster.replicas_by_name[follower]._context
        context.election.transfer_term = context.term
        self.assertTrue(context.is_transfer_target())
        context.become_follower(context.term + 1)
        self.assertFalse(context.is_transfer_target())

    async def test_read_barrier_of_a_deposed_leader_fails(self):
        """A stale state, which later commands have changed, must not be read."""
        cluster = await self.create()
        leader = cluster.replicas_by_name[cluster.leader()]
        await cluster.run(leader.read_barrier())
        cluster.network.cut(cluster.leader())
        with self.assertRaises(ConsensusError):
            await cluster.run(leader.read_barrier(), 3)


if __name__ == '__main__':
    unittest.main()
