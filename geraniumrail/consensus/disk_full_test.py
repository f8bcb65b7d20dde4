"""Checks that what is stored on a disk that was full for a while is exact, and is read again."""

import asyncio
import contextlib
import dataclasses
import errno
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from geraniumrail.consensus import file_storage
from geraniumrail.consensus.entry import Entry, HardState, Snapshot, Stored
from geraniumrail.consensus.file_storage import FileStorage

REFUSALS = 3  # until there is room again


def entries(first, last):
    return tuple(Entry(index=at, term=1, payload=b'x' * 50) for at in range(first, last + 1))


class FullDisk:
    """Refuses the first calls of one function of `os`, or writes a part and then refuses."""

    def __init__(self, name, part=0):
        self.name, self.part = name, part
        self.real = getattr(os, name)
        self.left = 0

    def __call__(self, *args, **options):
        if self.left == 0:
            return self.real(*args, **options)
        self.left -= 1
        if self.part:
            descriptor, content = args
            self.real(descriptor, content[: self.part])
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


@contextlib.contextmanager
def refused(*disks):
    """Refuses the next calls of functions of `os`."""
    with contextlib.ExitStack() as stack:
        for disk in disks:
            stack.enter_context(mock.patch.object(os, disk.name, disk))
        stack.enter_context(mock.patch.object(file_storage, 'RETRY_PAUSE_S', 0.001))
        for disk in disks:
            disk.left = REFUSALS
        yield


class DiskFullTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / 'main'
        self.storage = FileStorage.open(self.folder, 'a')
        self.replica_id = self.storage.load().replica_id
        self.hard = HardState(term=2, voted_for='b')

    async def assert_loaded(self, last, snapshot_index=0):
        """Asserts that the folder holds the entries up to one, and nothing is repaired."""
        size = (self.folder / 'log').stat().st_size
        await self.storage.close()
        again = FileStorage.open(self.folder, 'a')
        try:
            stored = again.load()
        finally:
            await again.close()
        self.assertEqual((self.folder / 'log').stat().st_size, size)
        self.assertEqual(stored.entries, entries(snapshot_index + 1, last))
        self.assertEqual(stored.snapshot.index, snapshot_index)
        self.assertEqual((stored.replica_id, stored.hard), (self.replica_id, self.hard))

    async def write_around(self, *disks):
        """Writes before, during and after refusals."""
        await self.storage.write(self.hard, entries(1, 2))
        with refused(*disks):
            await self.storage.write(None, entries(3, 4))
        self.assertEqual([disk.left for disk in disks], [0] * len(disks))
        await self.storage.write(None, entries(5, 6))
        await self.assert_loaded(6)

    async def test_part_of_a_record_before_the_refusal_is_dropped(self):
        """A partial record before the refusal would make all later records unreadable."""
        await self.write_around(FullDisk('write', part=9))

    async def test_whole_record_before_a_refused_sync_is_stored_once(self):
        """A record that was written and not synced would be stored twice."""
        await self.write_around(FullDisk('fdatasync'))

    async def test_part_of_a_record_is_dropped_if_truncation_is_refused_too(self):
        """The next attempt was appended to the part, and the folder could not be loaded."""
        await self.write_around(FullDisk('write', part=9), FullDisk('ftruncate'))

    async def test_new_folder_on_a_full_disk_waits_for_room(self):
        """A process that started with an empty folder on a full disk ended."""
        for name in ('mkdir', 'open', 'fsync'):
            with self.subTest(refused=name), refused(disk := FullDisk(name)):
                storage = FileStorage.open(self.folder.parent / name, 'a')
                stored = storage.load()
                await storage.close()
                self.assertEqual(disk.left, 0)
                again = FileStorage.open(self.folder.parent / name, 'a')
                self.assertEqual(again.load(), stored)
                await again.close()

    async def test_torn_tail_on_a_full_disk_waits_for_room(self):
        """A process that started with a torn tail on a full disk ended."""
        await self.storage.write(self.hard, entries(1, 2))
        with (self.folder / 'log').open('ab') as log:
            log.write(b'part')
        await self.storage.close()
        self.storage = FileStorage.open(self.folder, 'a')
        with refused(disk := FullDisk('fsync')):
            self.storage.load()
        self.assertEqual(disk.left, 0)
        await self.assert_loaded(2)

    async def test_damaged_files_on_a_full_disk_wait_for_room(self):
        """A process that renamed a damaged log on a full disk ended."""
        await self.storage.close()
        (self.folder / 'log').write_bytes(b'damage')
        for name in ('replace', 'fsync'):
            with self.subTest(refused=name), refused(disk := FullDisk(name)):
                storage = FileStorage.open(self.folder, 'a', rename_damaged=True)
                self.assertNotEqual(storage.load().replica_id, self.replica_id)
                await storage.close()
                self.assertEqual(disk.left, 0)
            (self.folder / 'log').write_bytes(b'damage')

    async def test_folder_that_may_not_be_written_is_reported(self):
        """A wrong folder must end the start instead of being waited for."""
        refusal = PermissionError(errno.EACCES, 'refused')
        with mock.patch.object(os, 'mkdir', side_effect=refusal):
            with self.assertRaises(PermissionError):
                FileStorage.open(self.folder.parent / 'other', 'a')

    async def test_refused_snapshot_leaves_no_files(self):
        """The parts of a snapshot and of a log that did not fit filled the disk for good."""
        state = dataclasses.replace(self.state(), entries=entries(5, 9000))
        for name in ('fsync', 'replace'):
            disk = FullDisk(name)
            disk.left = 1
            with mock.patch.object(os, name, disk), self.assertRaises(OSError):
                self.storage._compact(state)
            self.assertEqual(sorted(os.listdir(self.folder)), ['lock', 'log'])

    async def test_parts_of_an_interrupted_snapshot_are_removed(self):
        """A process that was killed during a snapshot left its parts on the disk."""
        await self.storage.close()
        for name in ('log.tmp', 'snapshot.tmp'):
            (self.folder / name).write_bytes(b'part')
        self.storage = FileStorage.open(self.folder, 'a')
        self.storage.load()
        self.assertEqual(sorted(os.listdir(self.folder)), ['lock', 'log'])
        await self.storage.close()

    def state(self):
        return Stored(
            replica_id=self.replica_id,
            hard=self.hard,
            snapshot=Snapshot(index=4, term=1, payload=b'state' * 99),
            base_index=4,
            base_term=1,
            entries=entries(5, 6),
        )

    async def test_snapshot_is_stored_after_refusals(self):
        """A snapshot on a full disk must leave the old files or the new ones."""
        state = self.state()
        await self.storage.write(self.hard, entries(1, 6))
        for name in ('fsync', 'replace', 'close'):
            with self.subTest(refused=name), refused(disk := FullDisk(name)):
                await self.storage.compact(state)
                self.assertEqual(disk.left, 0)
        await self.storage.write(None, entries(7, 8))
        await self.assert_loaded(8, snapshot_index=4)


if __name__ == '__main__':
    unittest.main()
