"""Time limits by an injected clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from geraniumrail.core.clock import Clock

Reply = TypeVar('Reply')


async def within(clock: Clock, seconds: float, call: Coroutine[Any, Any, Reply]) -> Reply:
    """Awaits a call for a limited time.

    :param clock: measures the time.
    :param seconds: the limit.
    :param call: what to await; it is cancelled when the time is up.
    :raises TimeoutError: when the time is up.
    """
    task = asyncio.ensure_future(call)
    task.add_done_callback(_retrieve)
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait((task, timer), return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
        if not task.done():
            task.cancel()
    if not task.done():
        raise TimeoutError
    return task.result()


def _retrieve(task: 'asyncio.Future[Any]') -> None:
    """Marks the error of a task that nobody awaits any more as seen."""
    if not task.cancelled():
        task.exception()
