"""Ends each step of a stop within the time that the process is left."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.daemon import events
from geraniumrail.tasks.ending import task_names

# For each step when the time is over; well above what a step takes that does not hang.
LEAST_STEP_S = 1.0


class StopSteps:
    """Steps of one stop; a step that takes too long is logged and given up."""

    def __init__(self, clock: Clock, ends_at: float) -> None:
        """Begins the stop.

        :param clock: time.
        :param ends_at: when the process should have ended, by that clock.
        """
        self._clock = clock
        self._ends_at = ends_at

    async def run(self, name: str, step: Coroutine[Any, Any, None]) -> None:
        """Runs one step; its errors are raised.

        :param name: for the log.
        :param step: the work.
        """
        task = asyncio.create_task(step, name=f'stop-{name}')
        limit_s = max(LEAST_STEP_S, self._ends_at - self._clock.now())
        await asyncio.wait({task}, timeout=limit_s)
        if task.done():
            return task.result()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        log(events.STOP_HANGS, step=name, limit_s=round(limit_s, 3), tasks=task_names(others))
        task.cancel()
