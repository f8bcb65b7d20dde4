"""A bound on the bytes that a process keeps on behalf of others."""

import collections
import math
from collections.abc import Callable

DEFAULT_BUDGET_BYTES = 96 * 1024 * 1024  # where no limit of the process is known


class Hold:
    """Bytes kept for one body; `end` returns them to the budget."""

    __slots__ = ('_budget', '_give_up', 'size', 'source')

    def __init__(self, budget: 'ByteBudget', source: str, give_up: Callable[[], None]) -> None:
        """Use `ByteBudget.hold`."""
        self.size = 0
        self.source = source
        self._budget: ByteBudget | None = budget
        self._give_up: Callable[[], None] | None = give_up

    @property
    def is_settled(self) -> bool:
        """Whether the body has arrived as a whole and is not given up any more."""
        return self._give_up is None

    def add(self, count: int) -> None:
        """Counts bytes that have arrived; bodies are given up until all others fit.

        :param count: bytes.
        """
        if self._budget is not None:
            self.size += count
            self._budget.take(self, count)

    def give_back(self, count: int) -> None:
        """Returns bytes that were passed on.

        :param count: bytes.
        """
        if self._budget is not None:
            self.size -= count
            self._budget.give_back(self, count)

    def settle(self) -> None:
        """Notes that the body has arrived as a whole."""
        if self._give_up is not None and self._budget is not None:
            self._give_up = None
            self._budget.settle(self)

    def end(self) -> None:
        """Returns all bytes; those that arrive later don't count."""
        if self._budget is not None:
            self._budget.drop(self)
            self._budget = None

    def give_up(self) -> None:
        """Ends the hold and tells its owner that the body is not kept."""
        give_up = self._give_up
        self._give_up = None
        self.end()
        if give_up is not None:
            give_up()


class ByteBudget:
    """Gives up arriving bodies when all together exceed the limit.

    Of the source that holds the most, the largest body is given up: bodies without end of one
    source leave room for large ones of others. Whole bodies are not given up, so a source may also
    be limited to a multiple of what all leave: however many hold their most, some room is left for
    the next.
    """

    def __init__(self, limit_bytes: int, share_of_free: float = math.inf) -> None:
        """Starts empty.

        :param limit_bytes: of all bodies together.
        :param share_of_free: a source may hold so many times the bytes that are free.
        """
        self.limit_bytes = limit_bytes
        self._share_of_free = share_of_free
        self._sizes_by_source: collections.Counter[str] = collections.Counter()
        self.held_bytes = 0
        self._arriving: set[Hold] = set()
        self._settled: set[Hold] = set()

    def has_room(self, size: int) -> bool:
        """Returns whether whole bodies leave room for a further one.

        :param size: its bytes.
        """
        return sum(each.size for each in self._settled) + size <= self.limit_bytes

    def hold(self, source: str, give_up: Callable[[], None]) -> Hold:
        """Begins to count a body.

        :param source: where it comes from.
        :param give_up: called once if it is not kept.
        """
        return Hold(self, source, give_up)

    def take(self, hold: Hold, count: int) -> None:
        """Counts bytes of a hold.

        :param hold: whose bytes they are.
        :param count: bytes.
        """
        self.held_bytes += count
        self._sizes_by_source[hold.source] += count
        if not hold.is_settled:
            self._arriving.add(hold)
        while self.held_bytes > self.limit_bytes and self._arriving:
            self._largest().give_up()
        while self._exceeds_share(hold.source):
            arriving = [each for each in self._arriving if each.source == hold.source]
            if not arriving:
                break
            max(arriving, key=lambda each: each.size).give_up()

    def give_back(self, hold: Hold, count: int) -> None:
        """Returns bytes.

        :param hold: whose bytes they were.
        :param count: bytes.
        """
        self.held_bytes -= count
        self._sizes_by_source[hold.source] -= count
        if not self._sizes_by_source[hold.source]:
            self._sizes_by_source.pop(hold.source)

    def settle(self, hold: Hold) -> None:
        """Keeps a hold whatever arrives.

        :param hold: of a body that has arrived as a whole.
        """
        self._arriving.discard(hold)
        if hold.size:
            self._settled.add(hold)

    def drop(self, hold: Hold) -> None:
        """Returns all bytes of a hold.

        :param hold: whose bytes they are.
        """
        self.give_back(hold, hold.size)
        self._arriving.discard(hold)
        self._settled.discard(hold)

    def _exceeds_share(self, source: str) -> bool:
        if self._share_of_free == math.inf:
            return False
        free = self.limit_bytes - self.held_bytes
        return self._sizes_by_source[source] > self._share_of_free * free

    def _largest(self) -> Hold:
        sizes_by_source: collections.Counter[str] = collections.Counter()
        for hold in self._arriving:
            sizes_by_source[hold.source] += hold.size
        return max(self._arriving, key=lambda each: (sizes_by_source[each.source], each.size))
