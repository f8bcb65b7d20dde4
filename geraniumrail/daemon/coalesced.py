"""Work that is done once for all requests that arrive while it is pending."""

import asyncio
import math
from collections.abc import Callable


class Coalesced:
    """Does work soon after it is requested, and at most once in an interval.

    Load pattern: a signal each millisecond, each of which asks to read the settings again.
    """

    def __init__(self, act: Callable[[], None], interval_s: float) -> None:
        """Starts with nothing pending.

        :param act: the work.
        :param interval_s: least time from the end of the work until it begins again.
        """
        self._act = act
        self._interval_s = interval_s
        self._is_pending = False
        self._ended_at = -math.inf

    def request(self) -> None:
        """Has the work begin after this moment; an event loop must be running."""
        if self._is_pending:
            return
        self._is_pending = True
        loop = asyncio.get_running_loop()
        loop.call_at(max(loop.time(), self._ended_at + self._interval_s), self._run)

    def _run(self) -> None:
        # What is requested from here on may come too late for this run.
        self._is_pending = False
        try:
            self._act()
        finally:
            self._ended_at = asyncio.get_running_loop().time()
