"""Queues that the fairness experiment compares with `FairQueue`."""

import collections
from collections.abc import Collection

from geraniumrail.fairness.queue_item import QueueItem


class FifoQueue:
    """One queue for all, in order of arrival."""

    def __init__(self) -> None:
        """Starts empty."""
        self._items: collections.deque[QueueItem] = collections.deque()

    def push(self, item: QueueItem, now: float) -> None:
        """Appends an item."""
        self._items.append(item)

    def pop(
        self, now: float, classes: Collection[str] = (), *, reserve_only: bool = False
    ) -> QueueItem | None:
        """Removes the first item if any engine has room."""
        return self._items.popleft() if self._items and classes else None

    def finish(self, item_id: str, tokens: float, now: float) -> None:
        """Does nothing."""


class RoundRobinQueue:
    """One request of each organisation in turn, whatever its length."""

    def __init__(self) -> None:
        """Starts empty."""
        self._queues_by_organisation: dict[str, FifoQueue] = {}

    def push(self, item: QueueItem, now: float) -> None:
        """Appends an item to the queue of its organisation."""
        queue = self._queues_by_organisation.setdefault(item.organisation, FifoQueue())
        queue.push(item, now)

    def pop(
        self, now: float, classes: Collection[str] = (), *, reserve_only: bool = False
    ) -> QueueItem | None:
        """Removes the first item of the organisation whose turn it is."""
        for organisation, queue in tuple(self._queues_by_organisation.items()):
            item = queue.pop(now, classes)
            if item is not None:
                # The organisation goes to the end of the order.
                self._queues_by_organisation.pop(organisation)
                self._queues_by_organisation[organisation] = queue
                return item
        return None

    def finish(self, item_id: str, tokens: float, now: float) -> None:
        """Does nothing."""
