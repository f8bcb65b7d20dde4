"""Leaves: announces it, finishes the work within the notice, then stops."""

import asyncio
import time
from collections.abc import Callable

from geraniumrail.core import events
from geraniumrail.standins.events import LEAVING, STOPPED

_POLL_S = 0.05


class Departure:
    """Whether a server is leaving, and until when."""

    def __init__(self, notice_s: float, idle_exit_s: float) -> None:
        """Starts as staying.

        :param notice_s: notice if none is given, in seconds.
        :param idle_exit_s: stop early after so long without work, in seconds.
        """
        self.leaving_at: float | None = None  # wall clock, in seconds
        self.stopped = asyncio.Event()
        self._notice_s = notice_s
        self._idle_exit_s = idle_exit_s
        self._task: asyncio.Task[None] | None = None

    @property
    def leaving(self) -> bool:
        """Returns whether the departure has been announced."""
        return self.leaving_at is not None

    def begin(
        self, hurry: Callable[[], None], busy: Callable[[], int], notice_s: float | None = None
    ) -> None:
        """Starts to leave; later calls are ignored.

        :param hurry: sends the announcement.
        :param busy: requests in progress.
        :param notice_s: time until the instance is taken away, in seconds.
        """
        if self.leaving_at is not None:
            return
        self.leaving_at = time.time()
        hurry()
        notice = self._notice_s if notice_s is None else notice_s
        events.log(LEAVING, notice_s=notice)
        self._task = asyncio.create_task(self._wait(busy, notice))

    async def _wait(self, busy: Callable[[], int], notice_s: float) -> None:
        end = time.monotonic() + notice_s
        last_busy = time.monotonic()
        while time.monotonic() < min(end, last_busy + self._idle_exit_s):
            if busy():
                last_busy = time.monotonic()
            await asyncio.sleep(_POLL_S)
        events.log(STOPPED, unfinished=busy())
        self.stopped.set()
