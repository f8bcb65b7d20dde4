"""Checks that synced records are read again, a torn tail is truncated and damage is refused."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import tracemalloc
import unittest

from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.entry import Entry, HardState, Snapshot, Stored
from geraniumrail.consensus.file_storage import FileStorage
from geraniumrail.consensus.messages import AppendRequest
from geraniumrail.consensus.replica import Replica
from geraniumrail.consensus.testing import LastCommandMachine, ListMachine, SimulatedTransport
from geraniumrail.core.clock import SystemClock
from geraniumrail.errors.consensus import FolderInUseError, LogDamagedError

LONG_BYTES = 500_000
LONG_COUNT = 40


def entries(first, last, term=1):
    return [Entry(index=index, term=term, payload=b'x' * 50) for index in range(first, last + 1)]


def long_entries():
    return tuple(
        Entry(index=index, term=1, payload=bytes(LONG_BYTES)) for index in range(1, LONG_COUNT + 1)
    )


class FileStorageTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'main'
        self.log = self.folder / 'log'

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def written(self, *batches):
        """Writes batches to a new folder and returns the size of the log after each."""
        storage = FileStorage.open(self.folder, 'a')
        storage.load()
        sizes = [self.log.stat().st_size]
        for batch in batches:
            await storage.write(HardState(term=2, voted_for='b'), batch)
            sizes.append(self.log.stat().st_size)
        await storage.close()
        return sizes

    async def loaded(self):
        storage = FileStorage.open(self.folder, 'a')
        try:
            return storage.load()
        finally:
            await storage.close()

    async def test_what_was_written_is_loaded(self):
        """An entry must replace the entries at and after its index, as in memory."""
        await self.written(entries(1, 5), entries(4, 6, term=2))
        stored = await self.loaded()
        self.assertEqual([entry.term for entry in stored.entries], [1, 1, 1, 2, 2, 2])
        self.assertEqual(stored.hard, HardState(term=2, voted_for='b'))
        self.assertEqual(stored, await self.loaded())

    async def test_every_torn_tail_is_truncated(self):
        """A crash during a write must not prevent the replica from starting."""
        sizes = await self.written(entries(1, 2), entries(3, 4))
        content = self.log.read_bytes()
        for end in range(sizes[1], sizes[2]):
            self.log.write_bytes(content[:end])
            self.assertEqual(len((await self.loaded()).entries), 2)
            self.assertEqual(self.log.stat().st_size, sizes[1])

    async def test_damage_before_the_tail_is_refused(self):
        """A replica that starts without an acknowledged entry would lose it."""
        sizes = await self.written(entries(1, 2), entries(3, 4))
        content = self.log.read_bytes()
        for offset in range(sizes[1]):
            damaged = bytearray(content)
            damaged[offset] ^= 1
            self.log.write_bytes(damaged)
            with self.assertRaises(LogDamagedError):
                await self.loaded()

    async def test_lost_log_is_not_a_new_folder(self):
        """A replica that has its snapshot but lost its votes must not start."""
        await self.compacted()
        self.log.unlink()
        with self.assertRaises(LogDamagedError):
            await self.loaded()

    async def test_lost_snapshot_is_refused(self):
        """Without the snapshot the state before the log is missing."""
        await self.compacted()
        (self.folder / 'snapshot').unlink()
        with self.assertRaises(LogDamagedError):
            await self.loaded()

    async def test_snapshot_replaces_the_log(self):
        state = await self.compacted()
        self.assertEqual(await self.loaded(), state)

    async def test_crash_between_snapshot_and_log(self):
        """The old log stays usable, or is dropped if it ends before the snapshot."""
        await self.written(entries(1, 5))
        log = self.log.read_bytes()
        await self.compacted()
        self.log.write_bytes(log)
        stored = await self.loaded()
        self.assertEqual((stored.snapshot.index, len(stored.entries)), (4, 5))
        await self.compacted(index=9)
        self.log.write_bytes(log)
        stored = await self.loaded()
        self.assertEqual((stored.base_index, stored.entries), (9, ()))

    async def test_replica_restarts_from_its_files(self):
        """A restart after many commands must load the snapshot and the rest of the log."""
        commands = [b'%d' % number for number in range(1200)]
        replica, _ = await self.started()
        await replica.create_group()
        await self.proposed(replica, commands[:600])
        await self.proposed(replica, commands[600:])
        await replica.stop()
        replica_id = replica.replica_id
        replica, machine = await self.started()
        self.assertEqual(replica.replica_id, replica_id)
        self.assertGreaterEqual(replica.status().snapshot_index, 500)
        self.assertEqual(machine.restored, 1)
        await self.proposed(replica, [b'after'])
        self.assertEqual(machine.commands, [*commands, b'after'])
        await replica.stop()

    async def started(self, new_machine=ListMachine, **settings):
        machine = new_machine()
        replica = Replica.from_config(
            # Short times are safe because the replica is the only voter.
            ReplicaConfig(name='a', address='a', election_timeout_s=0.05, tick_s=0.01, **settings),
            FileStorage.open(self.folder, 'a'),
            SimulatedTransport(None, 'a'),
            machine,
            SystemClock(),
            random.Random(1),
        )
        await replica.start()
        return replica, machine

    async def proposed(self, replica, commands):
        async with asyncio.timeout(60):
            while not replica.is_leader_with_lease():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            await asyncio.gather(*(replica.propose(command) for command in commands))

    async def peak_bytes(self, work):
        """Returns the peak of the memory that is allocated during a piece of work."""
        tracemalloc.start()
        try:
            outcome = work()
            if asyncio.iscoroutine(outcome):
                await outcome
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()

    async def test_log_is_loaded_without_copies_of_the_whole(self):
        """A start held the file, its records and its entries at once, and was killed for it."""
        await self.written(*([entry] for entry in long_entries()))
        storage = FileStorage.open(self.folder, 'a')
        peak = await self.peak_bytes(storage.load)
        await storage.close()
        self.assertLess(peak, LONG_COUNT * LONG_BYTES + 4 * LONG_BYTES)

    async def test_log_is_created_without_copies_of_the_whole(self):
        """A process at its memory limit was killed when it replaced its log."""
        storage = FileStorage.open(self.folder, 'a')
        entries = long_entries()
        state = dataclasses.replace(storage.load(), entries=entries)
        peak = await self.peak_bytes(lambda: storage.compact(state))
        await storage.close()
        self.assertLess(peak, 8 * LONG_BYTES)
        self.assertEqual((await self.loaded()).entries, entries)

    async def test_entries_that_are_replaced_do_not_fill_the_disk(self):
        """Entries of each lost leader stayed in the file, and counted for nothing."""
        replica, _ = await self.started(LastCommandMachine, snapshot_after_bytes=8000)
        self.addAsyncCleanup(replica.stop)  # its writes would go on after a failure
        for term in range(1, 41):
            # The first entry is committed; the three others are replaced by the next leader.
            request = AppendRequest(
                group='main',
                group_id='group',
                target=replica.replica_id,
                sender='b.1',
                address='b',
                term=term,
                prev_index=term - 1,
                prev_term=term - 1,
                commit=term,
                entries=tuple(
                    Entry(index=term + at, term=term, payload=bytes(1000)) for at in range(4)
                ),
            )
            self.assertTrue((await replica.answer(request)).success)
            # Bound, what is kept, and the entries of two leaders, with their headers.
            self.assertLess(self.log.stat().st_size, 8000 + 1000 + 2 * 4000 + 1000)

    async def test_folder_is_locked(self):
        """Two processes on one folder would both vote."""
        storage = FileStorage.open(self.folder, 'a')
        with self.assertRaises(FolderInUseError):
            FileStorage.open(self.folder, 'a')
        await storage.close()

    async def compacted(self, index=4):
        storage = FileStorage.open(self.folder, 'a')
        replica_id = storage.load().replica_id
        state = Stored(
            replica_id=replica_id,
            hard=HardState(term=2, voted_for='b'),
            snapshot=Snapshot(index=index, term=1, payload=b'state'),
            base_index=index - 1,
            base_term=1,
            entries=tuple(entries(index, index + 2)),
        )
        await storage.compact(state)
        await storage.close()
        return state


if __name__ == '__main__':
    unittest.main()
