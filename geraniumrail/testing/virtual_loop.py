"""An event loop whose time moves on at once when no task is ready."""

import asyncio
import heapq
from collections.abc import Coroutine
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """Timeouts, sleeps and `LoopClock` all follow the same simulated time."""

    def __init__(self) -> None:
        """Starts at a time other than 0, which some code takes for unset."""
        super().__init__()
        self._simulated_s = 100.0

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._simulated_s

    def _run_once(self) -> None:
        timers = self._scheduled
        while timers and timers[0]._cancelled:  # noqa: SLF001
            self._timer_cancelled_count -= 1
            heapq.heappop(timers)._scheduled = False  # noqa: SLF001
        if timers and not self._ready:
            self._simulated_s = max(self._simulated_s, timers[0].when())
        super()._run_once()


class LoopClock:
    """The clock of the running loop."""

    def now(self) -> float:
        """Returns the time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Returns the same value as `now`."""
        return self.now()

    async def sleep(self, seconds: float) -> None:
        """Waits.

        :param seconds: duration.
        """
        await asyncio.sleep(seconds)


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine in a loop of its own and returns its result.

    :param work: the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
