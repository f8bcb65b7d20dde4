"""Wakes all who wait for the next change."""

import asyncio


class Broadcast:
    """An event that is reset by being sent."""

    def __init__(self) -> None:
        """Creates the broadcast."""
        self._next = asyncio.Event()

    async def wait(self) -> None:
        """Waits for the next `send`."""
        await self._next.wait()

    def notify_all(self) -> None:
        """Wakes all who wait now."""
        self._next.set()
        self._next = asyncio.Event()
