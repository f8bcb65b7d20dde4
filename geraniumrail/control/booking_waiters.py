"""Waits until a booking is final."""

import asyncio
import contextlib
import itertools

from geraniumrail.errors.state import UnknownBookingError
from geraniumrail.links.messages import AwaitBooking, BookingNow
from geraniumrail.state import results
from geraniumrail.state.machine import Machine


class BookingWaiters:
    """Keeps an event for each pending `AwaitBooking` request."""

    def __init__(self, machine: Machine) -> None:
        """Registers as a listener of the applied commands.

        :param machine: replicated state.
        """
        self._machine = machine
        # Ordered by arrival: seeded schedules must be reproducible.
        self._waiters_by_label: dict[str, dict[asyncio.Event, None]] = {}
        machine.listen(self._on_applied)

    async def wait(self, request: AwaitBooking) -> BookingNow:
        """Returns the booking when it is final, or its state after the limit.

        :param request: key, and limit in seconds.
        :raises UnknownBookingError: if the key is not known.
        """
        label = request.key.label()
        event = asyncio.Event()
        waiters = self._waiters_by_label.setdefault(label, {})
        waiters[event] = None
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(request.limit_s):
                    await self._until_final(label, event)
        finally:
            waiters.pop(event)
            if not waiters:
                self._waiters_by_label.pop(label, None)
        booking = self._machine.tables.bookings_by_label.get(label)
        if booking is None:
            raise UnknownBookingError(key=label)
        return BookingNow(booking=booking)

    async def _until_final(self, label: str, event: asyncio.Event) -> None:
        while True:
            booking = self._machine.tables.bookings_by_label.get(label)
            if booking is None:
                raise UnknownBookingError(key=label)
            if booking.final():
                return
            await event.wait()
            event.clear()

    def _on_applied(self, command: object, answer: object) -> None:
        if command is None:  # a snapshot was restored
            for event in itertools.chain.from_iterable(self._waiters_by_label.values()):
                event.set()
        if isinstance(answer, results.BookingUpdated) and answer.booking.final():
            for event in self._waiters_by_label.get(answer.booking.key.label(), ()):
                event.set()
