"""Time limits measured by an injected clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from geraniumrail.core.clock import Clock

Reply = TypeVar('Reply')


async def within(clock: Clock, seconds: float, call: Coroutine[Any, Any, Reply]) -> Reply:
    """Awaits a call for a limited time.

    :param clock: measures the time.
    :param seconds: the limit.
    :param call: coroutine to await; it is cancelled when the time is up.
    :raises TimeoutError: when the time is up.
    """
    # Cancels the awaiting task as asyncio.timeout does: a separate task for the call would cost
    # more than most calls.
    current = asyncio.current_task()
    timer = asyncio.ensure_future(_cancel_after(clock, seconds, current))
    cancelling = current.cancelling()
    try:
        return await call
    except asyncio.CancelledError as error:
        expired = timer.done() and not timer.cancelled()
        if expired and current.uncancel() <= cancelling:
            raise TimeoutError from error
        raise
    finally:
        timer.cancel()


async def _cancel_after(clock: Clock, seconds: float, task: 'asyncio.Task[Any]') -> None:
    await clock.sleep(seconds)
    task.cancel()
