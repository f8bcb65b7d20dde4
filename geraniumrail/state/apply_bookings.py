"""Commands on bookings: at most one attempt may run, and one outcome is stored."""

import dataclasses

from geraniumrail.errors.request import KeyReusedError
from geraniumrail.errors.state import NotOwnerError, UnknownBookingError, WrongPhaseError
from geraniumrail.state import booking as phases
from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.booking import Booking
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.tables import Tables

MAX_FINAL_BOOKINGS = 50_000  # about 40 MB at 800 bytes each; older answers are removed first


def _find(tables: Tables, key: BookingKey) -> Booking:
    found = tables.bookings_by_label.get(key.label())
    if found is None:
        raise UnknownBookingError(key=key.label())
    return found


def _owned(tables: Tables, key: BookingKey, owner: str) -> Booking:
    found = _find(tables, key)
    if found.owner != owner:
        raise NotOwnerError(key=key.label(), owner=found.owner)
    return found


def _store(tables: Tables, booking: Booking) -> Booking:
    label = booking.key.label()
    tables.bookings_by_label[label] = booking
    if booking.final():
        tables.open_labels.pop(label, None)
    else:
        tables.open_labels[label] = None
    return booking


def _require_phase(booking: Booking, *allowed: str) -> None:
    if booking.phase not in allowed:
        raise WrongPhaseError(key=booking.key.label(), phase=booking.phase)


def _claimable(found: Booking, epoch: int) -> bool:
    # A caller who was told not_run may ask again with the same key. Without the epoch, the late
    # copy of an earlier claim would run the booking although nobody asked again.
    return found.phase == phases.NOT_RUN and found.epoch == epoch


def _require_epoch(booking: Booking, epoch: int) -> None:
    if booking.epoch != epoch:
        raise WrongPhaseError(key=booking.key.label(), phase=f'{booking.phase} again')


@apply.register
def _claim(command: commands.ClaimBooking, tables: Tables) -> object:
    label = command.key.label()
    found = tables.bookings_by_label.get(label)
    if found is not None and found.body_digest != command.body_digest:
        raise KeyReusedError(key=command.key.key)
    if found is not None and not _claimable(found, command.epoch):
        repeated = found.owner == command.owner and found.phase == phases.ACCEPTED
        return results.Claimed(booking=found) if repeated else results.Attached(booking=found)
    booking = Booking(
        key=command.key,
        body_digest=command.body_digest,
        call=command.call,
        owner=command.owner,
        claimed_at=command.at,
        epoch=1 if found is None else found.epoch + 1,
    )
    tables.bookings_by_label.pop(label, None)
    return results.Claimed(booking=_store(tables, booking))


@apply.register
def _dispatch(command: commands.DispatchBooking, tables: Tables) -> object:
    found = _owned(tables, command.key, command.owner)
    # A resend of the same dispatch after a lost reply is answered as the first time.
    if found.phase != phases.DISPATCHED or found.attempt != command.attempt:
        _require_phase(found, phases.ACCEPTED)
        _require_epoch(found, command.epoch)
    sent = dataclasses.replace(
        found,
        phase=phases.DISPATCHED,
        attempt=command.attempt,
        backend=command.backend,
    )
    return results.BookingUpdated(booking=_store(tables, sent))


@apply.register
def _release(command: commands.ReleaseBooking, tables: Tables) -> object:
    found = _owned(tables, command.key, command.owner)
    if found.phase == phases.ACCEPTED:
        return results.BookingUpdated(booking=found)
    _require_phase(found, phases.DISPATCHED)
    if found.attempt != command.attempt:
        raise WrongPhaseError(key=command.key.label(), phase=found.phase)
    released = dataclasses.replace(
        found,
        phase=phases.ACCEPTED,
        attempt='',
        backend='',
        epoch=found.epoch + 1,
    )
    return results.BookingUpdated(booking=_store(tables, released))


@apply.register
def _finish(command: commands.FinishBooking, tables: Tables) -> object:
    found = _find(tables, command.key)
    # The entry that sent the attempt knows its result, also if another one was told to resolve it.
    if command.phase != phases.DONE or not command.attempt or found.attempt != command.attempt:
        _owned(tables, command.key, command.owner)
    if found.final():
        return results.BookingUpdated(booking=found)
    if command.phase == phases.NOT_RUN:
        _require_phase(found, phases.ACCEPTED)
        _require_epoch(found, command.epoch)
    else:
        _require_phase(found, phases.DISPATCHED)
    if found.attempt != command.attempt or command.phase not in phases.FINAL_PHASES:
        raise WrongPhaseError(key=command.key.label(), phase=found.phase)
    finished = dataclasses.replace(found, phase=command.phase, answer=command.answer)
    return results.BookingUpdated(booking=_store(tables, finished))


@apply.register
def _reassign(command: commands.ReassignBooking, tables: Tables) -> object:
    found = _owned(tables, command.key, command.from_owner)
    _require_phase(found, phases.ACCEPTED, phases.DISPATCHED)
    moved = dataclasses.replace(
        found,
        owner=command.to_owner,
        handovers=found.handovers + 1,
        epoch=found.epoch + 1,
    )
    return results.BookingUpdated(booking=_store(tables, moved))


@apply.register
def _expire(command: commands.ExpireBookings, tables: Tables) -> object:
    final = [
        (label, booking.claimed_at)
        for label, booking in tables.bookings_by_label.items()
        if booking.final()
    ]
    surplus = max(0, len(final) - MAX_FINAL_BOOKINGS)
    removed = [
        label
        for place, (label, claimed_at) in enumerate(final)
        if place < surplus or claimed_at < command.claimed_before
    ]
    for label in removed:
        tables.bookings_by_label.pop(label)
    return results.BookingsExpired(count=len(removed))
