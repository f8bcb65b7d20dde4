"""The log of a replica in memory and the task that writes it to storage."""

from collections.abc import Callable, Sequence

from geraniumrail.consensus.entry import Entry, HardState, Snapshot, Stored
from geraniumrail.consensus.entry_sequence import EntrySequence
from geraniumrail.consensus.interfaces import LogStorage
from geraniumrail.consensus.membership_history import MembershipHistory
from geraniumrail.consensus.write_queue import Batch, WriteQueue


class Journal:
    """Changes take effect in memory at once; one task writes all queued changes with one sync."""

    def __init__(self, storage: LogStorage, stored: Stored) -> None:
        """Creates the journal.

        :param storage: where the log is stored.
        :param stored: content loaded from the storage.
        """
        self.hard = stored.hard
        self.snapshot = stored.snapshot
        self.durable_index = stored.base_index + len(stored.entries)
        # Bytes of entries that others have replaced; a file holds them until it is replaced.
        self.superseded_bytes = 0
        self.on_durable: Callable[[], None] | None = None
        self._storage = storage
        self._replica_id = stored.replica_id
        self._entries = EntrySequence(stored)
        self._queue = WriteQueue()
        self.memberships = MembershipHistory(stored.snapshot)
        self.memberships.add(stored.entries)

    @property
    def base_index(self) -> int:
        """Position before the first entry in memory."""
        return self._entries.base_index

    @property
    def last_index(self) -> int:
        """Position of the last entry."""
        return self._entries.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries.last_term

    @property
    def size(self) -> int:
        """Sum of the payloads of the entries in memory, in bytes."""
        return self._entries.size_after(self.base_index)

    def size_after(self, index: int) -> int:
        """Returns the sum of the payloads after a position, in bytes.

        :param index: position; those before the base count as the base.
        """
        return self._entries.size_after(max(index, self.base_index))

    def term_at(self, index: int) -> int | None:
        """Returns the term of a position, or None if the log does not hold it.

        :param index: position.
        """
        return self._entries.term_at(index)

    def read(self, first: int, entries: int, size: int) -> tuple[Entry, ...]:
        """Returns the entries from a position on, at least one if the log holds it.

        :param first: position of the first entry.
        :param entries: maximum number of entries.
        :param size: maximum sum of the payloads in bytes.
        """
        return self._entries.read(first, entries, size)

    def set_hard_state(self, hard: HardState) -> None:
        """Changes term and vote; durable after the next `sync`.

        :param hard: new term and vote.
        """
        self.hard = hard
        self._queue.put(hard)

    def append(self, entries: Sequence[Entry]) -> None:
        """Adds entries, replacing those at and after the first index; durable after `sync`.

        :param entries: consecutive, the first at most one after the last index.
        """
        first = entries[0].index
        if first <= self.last_index:
            self.superseded_bytes += self._entries.size_after(first - 1)
            self._entries.truncate(first)
            self.durable_index = min(self.durable_index, first - 1)
            self.memberships.truncate(first)
        self._entries.extend(entries)
        self.memberships.add(entries)
        self._queue.put(*entries)

    def compact(self, index: int, payload: bytes, keep_entries: int, keep_bytes: int) -> None:
        """Records a snapshot of the applied state and drops entries before it.

        :param index: position of the last applied entry.
        :param payload: state of the state machine.
        :param keep_entries: maximum number of entries to keep before the snapshot.
        :param keep_bytes: maximum sum of their payloads.
        """
        self.snapshot = Snapshot(
            index=index,
            term=self.term_at(index) or 0,
            membership=self.memberships.at(index),
            payload=payload,
        )
        first_kept = self._entries.first_within(index, keep_bytes)
        self._entries.drop_until(max(self.base_index, index - keep_entries, first_kept - 1))
        self.memberships.compact(self.snapshot)
        self._queue_rewrite()

    def install(self, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot; entries after it are kept if they agree with it.

        :param snapshot: received from the leader, newer than the commit index.
        """
        agrees = self.term_at(snapshot.index) == snapshot.term
        kept = self._entries.after(snapshot.index) if agrees else ()
        self.snapshot = snapshot
        if not agrees:
            self.durable_index = 0
        self._entries = EntrySequence(self._stored(snapshot.index, snapshot.term, kept))
        self.memberships = MembershipHistory(snapshot)
        self.memberships.add(kept)
        self._queue_rewrite()

    async def sync(self) -> None:
        """Waits until all changes made so far are durable."""
        await self._queue.wait_written()

    async def run(self) -> None:
        """Writes queued changes until cancelled."""
        while True:  # noqa: WPS457  ends by cancellation
            batch = await self._queue.next_batch()
            if isinstance(batch, Stored):
                await self._storage.compact(batch)
                self._mark_durable(batch.entries, batch.snapshot.index)
            else:
                await self._write(batch)
            self._queue.mark_written()

    def fail(self, error: Exception) -> None:
        """Raises an error in all waiting and later calls of `sync`.

        :param error: the error.
        """
        self._queue.fail(error)

    async def _write(self, batch: Batch) -> None:
        entries = [item for item in batch if isinstance(item, Entry)]
        hards = [item for item in batch if isinstance(item, HardState)]
        await self._storage.write(hards[-1] if hards else None, entries)
        self._mark_durable(entries, 0)

    def _mark_durable(self, entries: Sequence[Entry], snapshot_index: int) -> None:
        # Entries may have been replaced in memory while they were written.
        current = (
            item.index for item in reversed(entries) if self.term_at(item.index) == item.term
        )
        self.durable_index = max(self.durable_index, snapshot_index, next(current, 0))
        if self.on_durable is not None:
            self.on_durable()

    def _queue_rewrite(self) -> None:
        self.superseded_bytes = 0
        entries = self._entries
        kept = entries.after(entries.base_index)
        self._queue.put_rewrite(self._stored(entries.base_index, entries.base_term, kept))

    def _stored(self, base_index: int, base_term: int, entries: tuple[Entry, ...]) -> Stored:
        return Stored(
            replica_id=self._replica_id,
            hard=self.hard,
            snapshot=self.snapshot,
            base_index=base_index,
            base_term=base_term,
            entries=entries,
        )
