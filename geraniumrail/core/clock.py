"""The clock interface; decisions and tests inject their own."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time; `now` is monotonic seconds, `wall` is seconds since the epoch.

    `now` counts the time in which the machine was suspended: leases must end then too.
    """

    def now(self) -> float:
        """Returns monotonic seconds."""

    def wall(self) -> float:
        """Returns seconds since the epoch."""

    async def sleep(self, seconds: float) -> None:
        """Waits.

        :param seconds: duration.
        """


class SystemClock:
    """The clock of the machine."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits.

        :param seconds: duration.
        """
        await asyncio.sleep(seconds)
