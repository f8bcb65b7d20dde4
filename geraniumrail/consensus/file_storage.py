"""Log storage in files under a data folder.

`log` starts with a `LogStart`, followed by the entries that were kept when it was created and one
`LogBatch` for each sync since; `snapshot` is a single `Snapshot`. The replica id is stored in the
log, so that a replica that has lost its log has also lost the id under which it voted. The log is
replaced by a shorter one only after the snapshot has been stored.

Files are read and created record by record: a log may take much of the memory of its process.
"""

import asyncio
import contextlib
import dataclasses
import errno
import fcntl
import functools
import os
import pathlib
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import BinaryIO, TypeVar

from geraniumrail.consensus import events, frames
from geraniumrail.consensus.durable_files import (
    drop_replacement,
    replace_file,
    sync_folder,
    truncate_file,
    write_all,
)
from geraniumrail.consensus.entry import Entry, HardState, Snapshot, Stored
from geraniumrail.consensus.entry_sequence import EntrySequence
from geraniumrail.consensus.load_step import logged_step
from geraniumrail.consensus.memory_storage import new_replica_id
from geraniumrail.core.codec import decode, encode, record
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import FolderInUseError, LogDamagedError

Result = TypeVar('Result')


@record
class LogStart:
    """First record of a log file."""

    replica_id: str
    hard: HardState
    snapshot_index: int  # a snapshot of this index or a later one is required
    base_index: int
    base_term: int


@record
class LogBatch:
    """Changes that were made durable with one sync."""

    hard: HardState | None
    entries: tuple[Entry, ...]


# Limits of the records of a log that is created with entries. One longer entry is a record too.
FRAME_ENTRIES = 1024
FRAME_BYTES = 1048576
# A failed write is retried after this pause; nothing is acknowledged until it succeeds.
RETRY_PAUSE_S = 0.25
# Of a full or faulty disk; other errors of a start are mistakes in the settings and end it.
DISK_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG, errno.EIO))


class FileStorage:
    """Stores the log of one replica in one folder; blocking calls run in a thread."""

    def __init__(
        self,
        folder: pathlib.Path,
        lock: int,
        initial: Stored,
        *,
        rename_damaged: bool = False,
    ) -> None:
        """Creates the storage; use `open`.

        :param folder: existing folder.
        :param lock: descriptor of the lock file, closed by `close`.
        :param initial: content of a new folder.
        :param rename_damaged: see `open`.
        """
        self._folder = folder
        self._initial = initial
        self._rename_damaged = rename_damaged
        self._lock = lock
        self._log = -1  # descriptor of the log file
        self._size = 0
        self._is_torn = False  # whether the file may hold a part of a record after `_size`
        self._stopped = False
        self._executor = ThreadPoolExecutor(1, f'log-{initial.replica_id}')

    @classmethod
    def open(
        cls,
        folder: pathlib.Path,
        name: str,
        initial: Stored | None = None,
        *,
        rename_damaged: bool = False,
    ) -> 'FileStorage':
        """Opens or creates a folder.

        :param folder: used by one replica only.
        :param name: first part of the replica id if the folder is new.
        :param initial: content of a new folder; by default a replica without a group.
        :param rename_damaged: rename damaged files and start as a new replica; otherwise `load`
            raises an error.
        :raises FolderInUseError: if another process or replica has the folder open.
        """
        if not folder.exists():
            _wait_for_room(folder, functools.partial(folder.mkdir, parents=True))
            _wait_for_room(folder, functools.partial(sync_folder, folder.parent))
        lock_flags = os.O_RDWR | os.O_CREAT
        open_lock = functools.partial(os.open, folder / 'lock', lock_flags, 0o600)
        lock = _wait_for_room(folder, open_lock)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(lock)
            raise FolderInUseError(folder=folder) from error
        initial = initial or Stored(replica_id=new_replica_id(name))
        return cls(folder, lock, initial, rename_damaged=rename_damaged)

    def load(self) -> Stored:
        """Reads the folder and truncates an incomplete record at the end of the log.

        :raises LogDamagedError: if any other record is damaged or a file is missing, unless
            damaged files are renamed.
        """
        try:
            return self._load()
        except LogDamagedError as error:
            if not self._rename_damaged:
                raise
            log(events.DAMAGED_LOG_RENAMED, folder=self._folder, reason=str(error))
        # The damaged log may hold votes and acknowledged entries, so the replica must not continue
        # under its old id. It does not found a group either.
        _wait_for_room(self._folder, self._rename_files)
        instance = self._initial.replica_id.partition('.')[0]
        self._initial = Stored(replica_id=new_replica_id(instance))
        return self._load()

    def _rename_files(self) -> None:
        for file in ('log', 'snapshot'):
            with contextlib.suppress(FileNotFoundError):
                (self._folder / file).replace(self._folder / f'{file}.damaged')
        sync_folder(self._folder)

    def _load(self) -> Stored:
        path = self._folder / 'log'
        for replaced in (path, self._folder / 'snapshot'):
            _wait_for_room(self._folder, functools.partial(drop_replacement, replaced))
        snapshot = self._load_snapshot()
        if path.exists():
            stored = self._load_log(path, snapshot)
        elif snapshot is None:
            stored = self._initial
            _wait_for_room(self._folder, lambda: replace_file(path, _log_frames(stored)))
        else:
            raise LogDamagedError(file=str(path), offset=0, reason='missing')
        self._open_log()
        return stored

    async def write(self, hard: HardState | None, entries: Sequence[Entry]) -> None:
        """Appends one record and syncs it.

        :param hard: new term and vote, or None if unchanged.
        :param entries: in the order they were accepted.
        """
        batch = LogBatch(hard=hard, entries=tuple(entries))
        content = frames.frame(self._size, encode(batch))
        await self._in_thread(lambda: self._append(content))
        self._size += len(content)

    async def compact(self, state: Stored) -> None:
        """Stores a snapshot, then replaces the log.

        :param state: the snapshot and the rest of the log.
        """
        work = functools.partial(self._retry_until_written, functools.partial(self._compact, state))
        await self._in_thread(work)

    async def close(self) -> None:
        """Closes the files after the write in progress."""
        self._stopped = True
        await asyncio.get_running_loop().run_in_executor(self._executor, self._close)
        self._executor.shutdown(wait=False)

    async def _in_thread(self, work: Callable[[], None]) -> None:
        await asyncio.get_running_loop().run_in_executor(self._executor, work)

    def _append(self, content: bytes) -> None:
        self._retry_until_written(functools.partial(self._append_once, content))

    def _append_once(self, content: bytes) -> None:
        if self._is_torn:
            os.ftruncate(self._log, self._size)
        self._is_torn = True
        write_all(self._log, content)
        os.fdatasync(self._log)
        self._is_torn = False

    def _retry_until_written(self, work: Callable[[], None]) -> None:
        """Retries a write until it succeeds; the other replicas can continue meanwhile."""
        _retry(self._folder, work, lambda error: not self._stopped)

    def _compact(self, state: Stored) -> None:
        snapshot = encode(state.snapshot)
        replace_file(self._folder / 'snapshot', (frames.header(0, snapshot), snapshot))
        replace_file(self._folder / 'log', _log_frames(state))
        old = self._log
        self._log = -1
        if old >= 0:
            os.close(old)
        self._open_log()

    def _close(self) -> None:
        if self._log >= 0:
            os.close(self._log)
        os.close(self._lock)

    def _open_log(self) -> None:
        path = self._folder / 'log'
        self._log = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._size = path.stat().st_size
        self._is_torn = False

    def _load_snapshot(self) -> Snapshot | None:
        path = self._folder / 'snapshot'
        if not path.exists():
            return None
        size = path.stat().st_size
        with logged_step('snapshot', size), path.open('rb') as source:
            end, record = next(frames.read_frames(source), (0, b''))
            if not record or end != size:
                raise LogDamagedError(file=str(path), offset=0, reason='checksum mismatch')
            return decode(record)

    def _load_log(self, path: pathlib.Path, snapshot: Snapshot | None) -> Stored:
        size = path.stat().st_size
        with logged_step('log', size), path.open('rb') as source:
            stored, end = _read_log(path, source, snapshot or Snapshot())
        if end < size:
            log(events.TAIL_TRUNCATED, file=path, offset=end, bytes=size - end)
            _wait_for_room(self._folder, functools.partial(truncate_file, path, end))
        return drop_superseded_log(stored)


def _wait_for_room(folder: pathlib.Path, work: Callable[[], Result]) -> Result:
    """Retries a write of the start while the disk refuses it."""
    return _retry(folder, work, lambda error: error.errno in DISK_ERRORS)


def _retry(
    folder: pathlib.Path,
    work: Callable[[], Result],
    may_retry: Callable[[OSError], bool],
) -> Result:
    failed = False
    while True:
        try:
            outcome = work()
        except OSError as error:
            if not may_retry(error):
                raise
            if not failed:
                log(events.DISK_FAILED, folder=folder, reason=str(error))
            failed = True
            time.sleep(RETRY_PAUSE_S)
        else:
            break
    if failed:
        log(events.DISK_RECOVERED, folder=folder)
    return outcome


def _read_log(path: pathlib.Path, source: BinaryIO, snapshot: Snapshot) -> tuple[Stored, int]:
    """Returns the content of a log file and the end of its last intact record."""
    records = frames.read_frames(source)
    end, first = next(records, (0, b''))
    if not first:
        frames.check_tail(str(path), source, 0)
        raise LogDamagedError(file=str(path), offset=0, reason='the first record is damaged')
    start = decode(first)
    if start.snapshot_index > snapshot.index:
        reason = f'the snapshot of index {start.snapshot_index} is missing'
        raise LogDamagedError(file=str(path), offset=0, reason=reason)
    hard = start.hard
    entries: list[Entry] = []
    for end_of_record, content in records:
        end = end_of_record
        batch = decode(content)
        hard = batch.hard or hard
        for entry in batch.entries:
            del entries[entry.index - start.base_index - 1 :]  # noqa: WPS420
            entries.append(entry)
    frames.check_tail(str(path), source, end)
    stored = Stored(
        replica_id=start.replica_id,
        hard=hard,
        snapshot=snapshot,
        base_index=start.base_index,
        base_term=start.base_term,
        entries=tuple(entries),
    )
    return stored, end


def drop_superseded_log(stored: Stored) -> Stored:
    """Drops the log if it conflicts with the snapshot or ends before it.

    A snapshot from the leader is stored before the log is replaced; after a crash in between, the
    old log is still there.

    :param stored: content of the snapshot and log files.
    """
    snapshot = stored.snapshot
    offset = snapshot.index - stored.base_index
    terms = (stored.base_term, *(entry.term for entry in stored.entries))
    if offset < len(terms) and terms[offset] == snapshot.term:
        return stored
    return dataclasses.replace(
        stored,
        base_index=snapshot.index,
        base_term=snapshot.term,
        entries=(),
    )


def _log_frames(state: Stored) -> Iterator[bytes]:
    """Yields a new log in frames that are small against the log."""
    start = LogStart(
        replica_id=state.replica_id,
        hard=state.hard,
        snapshot_index=state.snapshot.index,
        base_index=state.base_index,
        base_term=state.base_term,
    )
    written = frames.frame(0, encode(start))
    yield written
    offset = len(written)
    entries = EntrySequence(state)
    first = entries.base_index + 1
    while first <= entries.last_index:
        part = entries.read(first, FRAME_ENTRIES, FRAME_BYTES)
        written = frames.frame(offset, encode(LogBatch(hard=None, entries=part)))
        yield written
        offset += len(written)
        first += len(part)
