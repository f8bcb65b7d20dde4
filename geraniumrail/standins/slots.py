"""Places in the batch of an engine, handed out by priority."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

_Waiting = tuple[int, int, 'asyncio.Future[None]']


class Slots:
    """A limited number of places; the lowest priority number is served first."""

    def __init__(self, total: int) -> None:
        """Starts with all places free.

        :param total: requests that can run at once.
        """
        self.total = total
        self.running = 0
        self._numbers = itertools.count()
        self._waiting: list[_Waiting] = []

    @property
    def queued(self) -> int:
        """Returns how many requests wait for a place."""
        return sum(not place.done() for _, _, place in self._waiting)

    @contextlib.asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Waits for a place and gives it back at the end.

        :param priority: lower numbers are served first.
        """
        await self._take(priority)
        try:
            yield
        finally:
            self.running -= 1
            self._hand_out()

    async def _take(self, priority: int) -> None:
        place = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._numbers), place))
        self._hand_out()
        try:
            await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self.running -= 1
                self._hand_out()
            raise

    def _hand_out(self) -> None:
        while self._waiting and self.running < self.total:
            _, _, place = heapq.heappop(self._waiting)
            if not place.done():
                self.running += 1
                place.set_result(None)
