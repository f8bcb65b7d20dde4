"""A bound on the bytes of requests that are not complete, over all connections of a process.

The load is clients that send heads, empty lines or chunk framing without end. Bodies have a budget
of their own, which counts what handlers have read.
"""

import collections
from collections.abc import Callable

DEFAULT_HEAD_BUDGET_BYTES = 32 * 1024 * 1024  # where no limit of the process is known


class HeldHead:
    """What one connection has sent that no handler has taken."""

    __slots__ = ('give_up', 'size', 'source')

    def __init__(self, source: str, give_up: Callable[[], None]) -> None:
        """Starts empty.

        :param source: address of the client.
        :param give_up: called if the bytes are not kept.
        """
        self.size = 0
        self.source = source
        self.give_up = give_up


class HeadBudget:
    """Gives up the largest head of the source that holds the most when all exceed the limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Starts empty.

        :param limit_bytes: of all connections together.
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._heads: set[HeldHead] = set()

    def update(self, head: HeldHead, size: int) -> None:
        """Notes how much a connection holds; heads are given up until the others fit.

        :param head: of the connection.
        :param size: bytes.
        """
        self._resize(head, size)
        while self.held_bytes > self.limit_bytes:
            largest = self._largest()
            self._resize(largest, 0)
            largest.give_up()

    def _resize(self, head: HeldHead, size: int) -> None:
        self.held_bytes += size - head.size
        head.size = size
        if size:
            self._heads.add(head)
        else:
            self._heads.discard(head)

    def _largest(self) -> HeldHead:
        sizes_by_source: collections.Counter[str] = collections.Counter()
        for head in self._heads:
            sizes_by_source[head.source] += head.size
        return max(self._heads, key=lambda each: (sizes_by_source[each.source], each.size))
