"""Prefix cache of a fake engine."""

import collections
from collections.abc import Sequence

from geraniumrail.core.cache_event import CacheEvent


class BlockCache:
    """Least recently used blocks in limited memory; every change is published as an event."""

    def __init__(self, capacity: int) -> None:
        """Starts empty.

        :param capacity: blocks.
        """
        self._capacity = capacity
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0
        self._events: list[CacheEvent] = []

    def cached(self, prefixes: Sequence[str]) -> int:
        """Returns how many leading blocks are cached.

        :param prefixes: digests, shortest first.
        """
        for count, prefix in enumerate(prefixes):
            if prefix not in self._blocks:
                return count
        return len(prefixes)

    def add(self, prefixes: Sequence[str]) -> None:
        """Adds blocks and evicts the least recently used ones.

        :param prefixes: digests, shortest first.
        """
        for prefix in reversed(prefixes):
            if prefix not in self._blocks:
                self._publish(prefix, added=True)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, added=False)

    def take_events(self) -> tuple[CacheEvent, ...]:
        """Returns the events since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def _publish(self, prefix: str, *, added: bool) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(sequence=self._sequence, prefix=prefix, added=added))
