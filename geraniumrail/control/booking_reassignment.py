"""Assigns unfinished bookings of lost entries to other entries."""

import itertools

from geraniumrail.control import events
from geraniumrail.control.proposer import Proposer
from geraniumrail.control.publisher import Publisher
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.state import StateError
from geraniumrail.links.messages import EntryInfo
from geraniumrail.state import commands
from geraniumrail.state.booking import Booking
from geraniumrail.state.machine import Machine

MAX_REASSIGNED_AT_ONCE = 64


class BookingReassignment:
    """Runs on the leader; every reassignment goes through the log."""

    def __init__(
        self,
        machine: Machine,
        publisher: Publisher,
        proposer: Proposer,
        clock: Clock,
    ) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param publisher: has the leases of the entries.
        :param proposer: proposes commands.
        :param clock: time.
        """
        self._machine = machine
        self._publisher = publisher
        self._proposer = proposer
        self._clock = clock

    async def run_once(self) -> None:
        """Reassigns the bookings whose owner holds no lease."""
        leases = self._publisher.leases
        new_owners = leases.serving_entries(self._machine.tables.drains_by_target)
        # Until all leases are known, a running owner may not have reported to this leader yet.
        if not leases.knows_all_leases(self._clock.now()) or not new_owners:
            return
        orphaned = itertools.islice(self._bookings_without_owner(), MAX_REASSIGNED_AT_ONCE)
        for booking, new_owner in zip(list(orphaned), itertools.cycle(new_owners), strict=False):
            await self._reassign(booking, new_owner)

    def _bookings_without_owner(self) -> list[Booking]:
        leases = self._publisher.leases.leases_by_entry
        tables = self._machine.tables
        open_bookings = (tables.bookings_by_label[label] for label in tables.open_labels)
        return [booking for booking in open_bookings if booking.owner not in leases]

    async def _reassign(self, booking: Booking, new_owner: EntryInfo) -> None:
        command = commands.ReassignBooking(
            key=booking.key,
            from_owner=booking.owner,
            to_owner=new_owner.entry,
        )
        try:
            await self._proposer.propose(command)
        except StateError:
            return  # finished or reassigned in the meantime
        log(
            events.BOOKING_REASSIGNED,
            booking=booking.key.label(),
            phase=booking.phase,
            from_owner=booking.owner,
            to_owner=new_owner.entry,
        )
