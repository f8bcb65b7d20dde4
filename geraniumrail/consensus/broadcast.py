"""Wakes all tasks that wait for the next change."""

import asyncio


class Broadcast:
    """An event that only wakes the tasks that already wait for it."""

    def __init__(self) -> None:
        """Creates the broadcast."""
        self._next = asyncio.Event()

    async def wait(self) -> None:
        """Waits for the next `notify_all`."""
        await self._next.wait()

    def notify_all(self) -> None:
        """Wakes all tasks that wait now."""
        self._next.set()
        self._next = asyncio.Event()
