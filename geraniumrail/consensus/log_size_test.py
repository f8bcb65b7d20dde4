"""Checks that memory and disk are bounded by bytes, whatever the size of the commands."""

import asyncio
import random
import unittest

from geraniumrail.consensus.config import DEFAULT_LOG_BYTES, ReplicaConfig
from geraniumrail.consensus.entry import Entry, Stored
from geraniumrail.consensus.entry_sequence import EntrySequence
from geraniumrail.consensus.testing import Cluster, LastCommandMachine
from geraniumrail.errors.consensus import UncommittedLogFullError

LONG_BYTES = 500_000  # of a configuration with about 2,200 routes


def payload_bytes(entries):
    return sum(len(entry.payload) for entry in entries)


class LogSizeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncTearDown(self):
        await self.cluster.stop()

    async def create(self, **settings):
        self.cluster = await Cluster.create(3, machine=LastCommandMachine, **settings)
        return self.cluster

    def log_bytes(self):
        """Returns the bytes of the log of each replica, on disk and in memory."""
        cluster = self.cluster
        on_disk = [payload_bytes(disk.load().entries) for disk in cluster.disks_by_name.values()]
        journals = [each._context.journal for each in cluster.replicas_by_name.values()]
        in_memory = [
            payload_bytes(journal.read(journal.base_index + 1, 10_000, 1 << 40))
            for journal in journals
        ]
        return on_disk + in_memory

    def bound(self):
        config = ReplicaConfig(name='', address='', **self.cluster.settings)
        return config.snapshot_after_bytes + config.keep_bytes + config.max_command_bytes

    async def test_log_of_long_commands_stays_within_its_bytes(self):
        """Logs of 200 long configurations exceeded the memory of a process that loaded them."""
        cluster = await self.create()
        for number in range(120):
            await cluster.propose(b'%d ' % number + bytes(LONG_BYTES))
            self.assertLess(max(self.log_bytes()), self.bound())
        self.assertGreater(120 * LONG_BYTES, 3 * DEFAULT_LOG_BYTES)

    async def test_replicas_agree_after_a_restart_of_all_with_long_commands(self):
        """A restart from a shortened log must give the last acknowledged configuration."""
        cluster = await self.create(snapshot_after_bytes=4096, max_command_bytes=2048)
        for number in range(40):
            await cluster.propose(b'%d ' % number + bytes(2000))
        for name in 'abc':
            await cluster.crash(name)
        for name in 'abc':
            await cluster.start(name)
        await cluster.propose(b'after')
        machines = cluster.machines_by_name.values()
        await cluster.until(lambda: all(each.command == b'after' for each in machines))
        self.assertEqual({each.applied for each in machines}, {41})

    async def test_log_of_commands_of_unlike_sizes_stays_within_its_bytes(self):
        """Few long commands among many short ones must not be counted like the short ones."""
        rng = random.Random(7)
        cluster = await self.create(snapshot_after_bytes=8192, max_command_bytes=4096)
        for _ in range(300):
            size = rng.choice((4, 4, 4, 40, 400, 4000))
            await cluster.propose(rng.randbytes(size))
            self.assertLess(max(self.log_bytes()), self.bound())

    async def test_empty_replica_of_long_commands_is_sent_the_snapshot(self):
        """A replica that lost its disk was sent every version of the configuration."""
        cluster = await self.create(snapshot_after_bytes=8192, max_command_bytes=4096)
        for number in range(30):
            await cluster.propose(b'%d ' % number + bytes(4000))
        await cluster.start('d')
        await cluster.add('d')
        await cluster.until(lambda: cluster.machines_by_name['d'].applied == 30)
        self.assertGreater(cluster.network.installs, 0)
        self.assertLess(payload_bytes(cluster.disks_by_name['d'].load().entries), self.bound())

    def held_bytes(self, name):
        """Returns the bytes of commands and snapshots that a replica and its disk hold."""
        journal = self.cluster.replicas_by_name[name]._context.journal
        queue = journal._queue
        states = [each for each in (queue._rewrite, self.writing(name)) if isinstance(each, Stored)]
        entries = [change for change in queue._changes if isinstance(change, Entry)]
        entries += journal.read(journal.base_index + 1, 10_000, 1 << 40)
        entries += [entry for state in states for entry in state.entries]
        if isinstance(self.writing(name), tuple):
            entries += self.writing(name)[1]
        payloads = [entry.payload for entry in entries]
        payloads += [state.snapshot.payload for state in states] + [journal.snapshot.payload]
        return sum({id(payload): len(payload) for payload in payloads}.values())

    def writing(self, name):
        return self.cluster.disks_by_name[name]._writing

    async def test_hanging_disk_of_the_leader_does_not_fill_its_memory(self):
        """The others commit without the leader's disk; what waited for it had no bound."""
        cluster = await self.create(snapshot_after_bytes=8192, max_command_bytes=4096)
        leader = cluster.leader()
        cluster.disks_by_name[leader].sync_s = (1e6, 1e6)
        for number in range(100):
            await cluster.propose(b'%d ' % number + bytes(4000))
            # The log, its rewrite and the write in progress, and a snapshot of each.
            self.assertLess(self.held_bytes(leader), 3 * (self.bound() + 4096))
        self.assertEqual(cluster.leader(), leader)

    async def test_log_is_whole_after_a_disk_has_hung(self):
        """What a rewrite replaces in the queue must be as durable as if it had been written."""
        cluster = await self.create(snapshot_after_bytes=8192, max_command_bytes=4096)
        leader = cluster.leader()
        disk = cluster.disks_by_name[leader]
        usual_s, disk.sync_s = disk.sync_s, (20, 20)
        for number in range(30):
            await cluster.propose(b'%d ' % number + bytes(4000))
        disk.sync_s = usual_s
        journal = cluster.replicas_by_name[leader]._context.journal
        await cluster.until(lambda: journal.durable_index == journal.last_index)
        await cluster.run(journal.sync())
        for name in 'abc':
            if name != leader:
                await cluster.crash(name)
        await cluster.crash(leader)
        await cluster.start(leader)
        stored = disk.load()
        self.assertEqual(stored.base_index + len(stored.entries), journal.last_index)
        self.assertEqual(stored.entries[-1].payload[:2], b'29')

    async def test_large_proposals_that_wait_for_a_majority_are_refused(self):
        """A leader whose followers' disks hang appended proposals until its memory was full."""
        cluster = await self.create(snapshot_after_bytes=8192, max_command_bytes=4096)
        leader = cluster.leader()
        followers = [cluster.disks_by_name[name] for name in 'abc' if name != leader]
        usual_s = followers[0].sync_s
        for disk in followers:
            disk.sync_s = (5, 5)
        replica = cluster.replicas_by_name[leader]
        calls = [asyncio.ensure_future(replica.propose(bytes(4000))) for _ in range(20)]
        done = await cluster.run(asyncio.gather(*calls, return_exceptions=True))
        refused = [each for each in done if isinstance(each, UncommittedLogFullError)]
        self.assertEqual(len(refused), 18)
        for disk in followers:
            disk.sync_s = usual_s
        await cluster.propose(b'after')

    async def test_snapshots_of_a_large_state_are_as_rare_as_the_log_is_short(self):
        """A snapshot for every change of a long configuration would cost more than the log."""
        cluster = await self.create(snapshot_after_bytes=100, max_command_bytes=4096)
        await cluster.propose(bytes(4000))
        written = cluster.replicas_by_name['a'].status().snapshot_index
        for _ in range(30):
            await cluster.propose(b'short')
        self.assertEqual(cluster.replicas_by_name['a'].status().snapshot_index, written)


class EntrySequenceTest(unittest.TestCase):
    """Compares the sequence with a list of entries over random operations."""

    def test_matches_a_list(self):
        """A wrong position or size would lose entries or never compact."""
        for seed in range(30):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        sequence, entries, base = EntrySequence(Stored(replica_id='a')), [], 0
        for step in range(60):
            last = base + len(entries)
            action = rng.choice(('extend', 'extend', 'truncate', 'drop'))
            if action == 'extend':
                payloads = [bytes(rng.choice((0, 1, 50))) for _ in range(rng.randint(0, 4))]
                added = [
                    Entry(index=last + at + 1, term=step, payload=payload)
                    for at, payload in enumerate(payloads)
                ]
                sequence.extend(added)
                entries += added
            elif action == 'truncate':
                first = rng.randint(base + 1, last + 1)
                sequence.truncate(first)
                entries = entries[: first - base - 1]
            else:
                new_base = rng.randint(base, last)
                sequence.drop_until(new_base)
                entries, base = entries[new_base - base :], new_base
            self.compare(sequence, entries, base, rng)

    def compare(self, sequence, entries, base, rng):
        last = base + len(entries)
        self.assertEqual((sequence.base_index, sequence.last_index), (base, last))
        self.assertEqual(sequence.after(base), tuple(entries))
        at = rng.randint(base, last)
        size = rng.randint(0, 120)
        self.assertEqual(sequence.size_after(at), payload_bytes(entries[at - base :]))
        first = sequence.first_within(at, size)
        self.assertLessEqual(payload_bytes(entries[first - base - 1 : at - base]), size)
        if first > base + 1:
            self.assertGreater(payload_bytes(entries[first - base - 2 : at - base]), size)
        if at < last:
            read = sequence.read(at + 1, 3, size)
            rest = entries[at - base : at - base + 3]
            expected = [
                count
                for count in range(len(rest) + 1)
                if count == 1 or payload_bytes(rest[:count]) <= size
            ]
            self.assertEqual(read, tuple(rest[: max(expected)]))


if __name__ == '__main__':
    unittest.main()
