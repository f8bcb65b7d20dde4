"""Changes of a log that are not stored yet."""

import asyncio
import itertools

from geraniumrail.consensus.entry import Entry, HardState, Stored

Change = HardState | Entry
Batch = list[Change]
_Waiter = tuple[int, 'asyncio.Future[None]']

# Of one batch, which is encoded as a whole. One longer entry is a batch too.
MAX_BATCH_BYTES = 1048576


class WriteQueue:
    """Keeps changes in order; callers can wait until they are durable."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._changes: list[Change] = []
        self._rewrite: Stored | None = None  # comes before the changes
        self._wake = asyncio.Event()
        # Numbers of the last change that was added, dequeued and written.
        self._added = 0
        self._dequeued = 0
        self._written = 0
        self._waiters: list[_Waiter] = []
        self._error: Exception | None = None

    def put(self, *changes: Change) -> None:
        """Adds changes.

        :param changes: in order.
        """
        self._changes.extend(changes)
        self._added += len(changes)
        self._wake.set()

    def put_rewrite(self, state: Stored) -> None:
        """Replaces all queued changes by the whole state, which includes them.

        While a disk refuses writes, the queue thereby stays as small as the log in memory.

        :param state: content of the log now.
        """
        self._changes = []
        self._rewrite = state
        self._added += 1
        self._wake.set()

    async def next_batch(self) -> Batch | Stored:
        """Waits for changes and removes the first: some of limited size, or the whole state."""
        await self._wake.wait()
        rewrite = self._rewrite
        count = 0 if rewrite else _first_batch_length(self._changes)
        batch = self._changes[:count]
        self._changes = self._changes[count:]
        self._rewrite = None
        self._dequeued = self._added - len(self._changes)
        if not self._changes:
            self._wake.clear()
        return rewrite or batch

    def mark_written(self) -> None:
        """Ends the waits for all changes that `next_batch` has returned."""
        self._written = self._dequeued
        ready = [future for number, future in self._waiters if number <= self._written]
        self._waiters = [pair for pair in self._waiters if pair[0] > self._written]
        for future in ready:
            if not future.done():
                future.set_result(None)

    async def wait_written(self) -> None:
        """Waits until all changes added so far are durable."""
        if self._error is not None:
            raise self._error
        if self._added > self._written:
            future = asyncio.get_running_loop().create_future()
            self._waiters.append((self._added, future))
            await future

    def fail(self, error: Exception) -> None:
        """Raises an error in all waiting and later calls of `wait_written`.

        :param error: the error.
        """
        self._error = error
        for _, future in self._waiters:
            if not future.done():
                future.set_exception(error)
        self._waiters = []


def _first_batch_length(changes: Batch) -> int:
    sizes = (len(change.payload) if isinstance(change, Entry) else 0 for change in changes)
    fitting = itertools.takewhile(MAX_BATCH_BYTES.__ge__, itertools.accumulate(sizes))
    return max(1, sum(1 for _ in fitting))
