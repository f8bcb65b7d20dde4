"""Ends background tasks within a limit."""

import asyncio
from collections.abc import Iterable
from typing import Any

from geraniumrail.core.events import log
from geraniumrail.tasks import events

# A task that closes connections when it is cancelled takes some milliseconds.
AGAIN_S = 0.25
TIMES = 3
MAX_NAMES = 20


async def end_tasks(tasks: Iterable['asyncio.Task[Any]']) -> None:
    """Cancels tasks and waits until they have ended.

    A library may take the cancellation of a task for that of its own work, so a task that goes on
    is cancelled again; after some times it is left running, with a line in the log.

    :param tasks: they log their own errors.
    """
    left = set(tasks)
    for _ in range(TIMES):
        if not left:
            return
        for task in left:
            task.cancel()
        _, left = await asyncio.wait(left, timeout=AGAIN_S)
    if left:
        log(events.NOT_ENDED, tasks=task_names(left))


def task_names(tasks: Iterable['asyncio.Task[Any]']) -> list[str]:
    """Returns names of some tasks with their functions, for the log.

    :param tasks: any number; the first by name are returned.
    """
    names = (f'{task.get_name()}: {task.get_coro().__qualname__}' for task in tasks)
    return sorted(names)[:MAX_NAMES]
