"""Background tasks that end with their server."""

import asyncio
from collections.abc import Coroutine


class Tasks:
    """Keeps references to tasks, because the event loop keeps none."""

    def __init__(self) -> None:
        """Starts with no task."""
        self._tasks: set[asyncio.Task[object]] = set()

    def spawn(self, work: Coroutine[object, object, object]) -> None:
        """Starts a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cancel(self) -> None:
        """Cancels all tasks and waits for them."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
