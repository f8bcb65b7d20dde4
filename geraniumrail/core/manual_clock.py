"""A clock that is moved by hand, for tests and seeded experiments."""

import asyncio
import heapq
import itertools

_Sleeper = tuple[float, int, 'asyncio.Future[None]']


class ManualClock:
    """Time stands still until `advance` is called."""

    def __init__(self, start: float = 0) -> None:
        """Creates the clock.

        :param start: first value of `now`, in seconds.
        """
        self._now = start
        self._sleepers: list[_Sleeper] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Returns the current time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the same value as `now`."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Waits until the clock has been advanced.

        :param seconds: duration.
        """
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._now + seconds, next(self._numbers), future))
        await future

    def next_wake(self) -> float | None:
        """Returns the time of the earliest sleeper, or None if nobody sleeps."""
        while self._sleepers and self._sleepers[0][2].done():
            heapq.heappop(self._sleepers)
        return self._sleepers[0][0] if self._sleepers else None

    async def advance(self, seconds: float) -> None:
        """Moves time on and wakes the sleepers in order.

        :param seconds: how far to move.
        """
        end = self._now + seconds
        await settle()
        while (wake := self.next_wake()) is not None and wake <= end:
            _, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, wake)
            future.set_result(None)
            await settle()
        self._now = end


async def settle(rounds: int = 20) -> None:
    """Lets the ready tasks of the event loop run.

    :param rounds: how many passes over the loop.
    """
    for _ in range(rounds):
        await asyncio.sleep(0)
