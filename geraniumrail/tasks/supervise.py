"""Starts a background task again after an unexpected error."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from geraniumrail.core.events import log
from geraniumrail.tasks import events

# An error that repeats must not take the processor; well below a lease.
RESTART_DELAY_S = 0.2
MAX_REASON = 300  # characters


async def supervise(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Runs until the work returns or is cancelled.

    A task that ends unnoticed leaves a process that answers and does nothing: an entry that never
    gets a lease again, or a leader that expires nothing.

    :param name: for the log.
    :param work: coroutine function; it is called again after an error.
    """
    while True:
        try:
            return await work()
        except Exception as error:  # noqa: BLE001
            log_crash(name, error)
        await asyncio.sleep(RESTART_DELAY_S)


def log_crash(name: str, error: Exception, **fields: object) -> None:
    """Logs an unexpected error with the place where it arose.

    :param name: of the task.
    :param error: the error.
    :param fields: further fields of the line.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    log(events.CRASHED, task=name, error=repr(error)[:MAX_REASON], place=place, **fields)
