"""The prompt prefix cache of an engine, in limited memory."""

import collections
import random
import time

from geraniumrail.core.cache_event import CacheEvent
from geraniumrail.core.prefix import prefix_digests


class PrefixCache:
    """Least recently used blocks are evicted; events are published late and with gaps."""

    def __init__(self, blocks: int, lag_s: float, gap_share: float, rng: random.Random) -> None:
        """Starts empty.

        :param blocks: blocks that fit into memory.
        :param lag_s: time between a change and its publication, in seconds.
        :param gap_share: share of the events that is never published.
        :param rng: decides which events are lost.
        """
        self._blocks = blocks
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._rng = rng
        self._cached: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0
        self._unpublished: collections.deque[tuple[float, CacheEvent]] = collections.deque()

    def use(self, prompt: str) -> float:
        """Caches the prompt and returns the share of it that was cached before.

        :param prompt: text of the whole prompt.
        """
        digests = prefix_digests(prompt)
        cached = 0
        for digest in digests:
            if digest in self._cached:
                cached += 1
                self._cached.move_to_end(digest)
            else:
                self._cached[digest] = None
                self._note(digest, added=True)
        while len(self._cached) > self._blocks:
            evicted, _ = self._cached.popitem(last=False)
            self._note(evicted, added=False)
        return cached / len(digests)

    def publish(self) -> tuple[CacheEvent, ...]:
        """Takes the events that are old enough to be published."""
        limit = time.monotonic() - self._lag_s
        ready = []
        while self._unpublished and self._unpublished[0][0] <= limit:
            _, event = self._unpublished.popleft()
            if self._rng.random() >= self._gap_share:
                ready.append(event)
        return tuple(ready)

    def _note(self, digest: str, *, added: bool) -> None:
        self._sequence += 1
        event = CacheEvent(sequence=self._sequence, prefix=digest, added=added)
        self._unpublished.append((time.monotonic(), event))
