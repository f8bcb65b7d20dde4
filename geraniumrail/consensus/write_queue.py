"""Changes of a log that are not stored yet."""

import asyncio

from geraniumrail.consensus.entry import Entry, HardState, Stored

Change = HardState | Entry
Batch = list[Change]
_Waiter = tuple[int, 'asyncio.Future[None]']


class WriteQueue:
    """Keeps changes in order; callers can wait until they are durable."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._changes: list[Change | Stored] = []
        self._wake = asyncio.Event()
        self._dequeued = 0
        self._written = 0
        self._waiters: list[_Waiter] = []
        self._error: Exception | None = None

    def put(self, *changes: Change | Stored) -> None:
        """Adds changes.

        :param changes: in order.
        """
        self._changes.extend(changes)
        self._wake.set()

    async def next_batches(self) -> list[Batch | Stored]:
        """Waits for changes and removes all; adjacent entries and hard states form a batch."""
        await self._wake.wait()
        self._wake.clear()
        changes = self._changes
        self._changes = []
        self._dequeued += len(changes)
        batches: list[Batch | Stored] = []
        for change in changes:
            if isinstance(change, Stored):
                batches.append(change)
            elif batches and isinstance(batches[-1], list):
                batches[-1].append(change)
            else:
                batches.append([change])
        return batches

    def mark_written(self) -> None:
        """Ends the waits for all changes that `next_batches` has returned."""
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
        number = self._dequeued + len(self._changes)
        if number > self._written:
            future = asyncio.get_running_loop().create_future()
            self._waiters.append((number, future))
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
