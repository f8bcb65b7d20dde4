"""Bookings and orders of this entry: recorded first, sent at most once, answered from the log."""

import asyncio
import dataclasses
import random
from collections.abc import Coroutine

from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.entry import events
from geraniumrail.entry.booking_run import BookingRun
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.link import NoControlError
from geraniumrail.errors.request import IncompleteAnswerError, NotRunError, OutcomeUnknownError
from geraniumrail.errors.state import NotOwnerError, UnknownBookingError, WrongPhaseError
from geraniumrail.links.messages import AwaitBooking
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.state import booking as phases
from geraniumrail.state import commands, results
from geraniumrail.state.booking import Booking
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.stored_answer import StoredAnswer
from geraniumrail.state.stored_call import StoredCall

AWAIT_STEP_S = 2.0
CLAIM_LIMIT_S = 10.0
STILL_RUNNING = 'still running; ask again with the same key'

ClaimResult = results.Claimed | results.Attached


class Bookings:
    """One task for each booking that this entry owns; callers attach to it."""

    def __init__(
        self,
        entry: str,
        view: ClusterView,
        outcomes: Outcomes,
        watch: PartWatch,
        control: ControlLink,
        client: ServiceClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Connects the parts.

        :param entry: id of this entry with its incarnation.
        :param view: settings and backend servers.
        :param outcomes: breaker and outcome log.
        :param watch: requests that crash backend servers.
        :param control: the control leader.
        :param client: sends to plain services.
        :param clock: time.
        :param rng: source of routing draws.
        """
        self._entry = entry
        self._view = view
        self._outcomes = outcomes
        self._watch = watch
        self._control = control
        self._client = client
        self._clock = clock
        self._rng = rng
        self._runs_by_claim: dict[tuple[str, str], asyncio.Task[ClaimResult]] = {}

    @property
    def in_progress(self) -> int:
        """Number of bookings that this entry works on."""
        return len(self._runs_by_claim)

    async def answer(
        self,
        key: BookingKey,
        digest: str,
        call: StoredCall,
        limit_s: float,
    ) -> StoredAnswer:
        """Accepts a booking, or attaches to the same one, and returns its answer.

        :param key: identity of the booking.
        :param digest: digest of method, path and body.
        :param call: the request.
        :param limit_s: time left for the caller, in seconds.
        :raises KeyReusedError: if the key was used with another digest.
        :raises NotRunError: if it certainly did not run.
        :raises OutcomeUnknownError: if it may have run.
        """
        claim = commands.ClaimBooking(
            key=key,
            body_digest=digest,
            call=call,
            owner=self._entry,
            at=self._clock.wall(),
        )
        end = self._clock.now() + limit_s
        result = await self._join(claim, end)
        if isinstance(result, results.Attached) and result.booking.phase == phases.NOT_RUN:
            # It ended before this caller asked, so this caller asks for it again.
            again = dataclasses.replace(claim, epoch=result.booking.epoch)
            result = await self._join(again, end)
        booking = result.booking
        if not booking.final():
            booking = await self._await_final(key, end)
        return answer_of(booking)

    def take_over(self, assigned: tuple[Booking, ...]) -> None:
        """Starts work on bookings of lost entries that the log gave to this entry.

        :param assigned: bookings with this entry as owner.
        """
        for booking in assigned:
            claim = (booking.key.label(), booking.body_digest)
            if booking.owner == self._entry and claim not in self._runs_by_claim:
                log(events.BOOKING_TAKEN_OVER, booking=booking.key.label(), phase=booking.phase)
                self._start(*claim, self._carry(booking))

    async def drain(self) -> None:
        """Waits until no booking is in progress."""
        while self._runs_by_claim:
            await asyncio.wait(list(self._runs_by_claim.values()))

    async def _join(self, claim: commands.ClaimBooking, end: float) -> ClaimResult:
        label = claim.key.label()
        run = self._runs_by_claim.get((label, claim.body_digest))
        if run is None:
            run = self._start(label, claim.body_digest, self._claim_and_carry(claim))
        try:
            # The booking goes on when its caller has gone.
            return await asyncio.wait_for(asyncio.shield(run), end - self._clock.now())
        except TimeoutError as error:
            raise OutcomeUnknownError(reason=STILL_RUNNING, key=claim.key.key) from error

    async def _claim_and_carry(self, claim: commands.ClaimBooking) -> ClaimResult:
        while True:
            try:
                result = await self._control.propose(claim, CLAIM_LIMIT_S)
            except NoControlError:
                # The claim may be in the log, so it can't be given up.
                continue
            if result.booking.owner == self._entry and not result.booking.final():
                return await self._carry(result.booking)
            return result

    async def _carry(self, booking: Booking) -> ClaimResult:
        """Works on a booking while it is this entry's; the only task to do so in this process."""
        while True:
            try:
                return results.Claimed(booking=await self._new_run().drive(booking))
            except (NotOwnerError, WrongPhaseError) as error:
                log(events.BOOKING_MOVED_ON, booking=booking.key.label(), reason=str(error))
            except Exception as error:
                log(events.TASK_FAILED, task=booking.key.label(), reason=repr(error))
                await self._clock.sleep(AWAIT_STEP_S)
            booking = await self._current(booking.key)
            if booking.final() or booking.owner != self._entry:
                return results.Attached(booking=booking)

    async def _current(self, key: BookingKey) -> Booking:
        while True:
            try:
                reply = await self._control.await_booking(
                    AwaitBooking(key=key, limit_s=0),
                    CLAIM_LIMIT_S,
                )
            except NoControlError:
                continue
            return reply.booking

    def _new_run(self) -> BookingRun:
        return BookingRun(
            self._entry,
            self._view,
            self._outcomes,
            self._watch,
            self._control,
            self._client,
            self._clock,
            self._rng,
        )

    def _start(
        self,
        label: str,
        digest: str,
        work: Coroutine[None, None, ClaimResult],
    ) -> asyncio.Task[ClaimResult]:
        task = asyncio.create_task(work, name=label)
        self._runs_by_claim[(label, digest)] = task
        task.add_done_callback(lambda done: self._ended((label, digest), done))
        return task

    def _ended(self, claim: tuple[str, str], task: asyncio.Task[ClaimResult]) -> None:
        self._runs_by_claim.pop(claim, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, GeraniumrailError):
            log(events.TASK_FAILED, task=claim[0], reason=repr(error))

    async def _await_final(self, key: BookingKey, end: float) -> Booking:
        reason = STILL_RUNNING
        while self._clock.now() < end:
            remaining_s = end - self._clock.now()
            request = AwaitBooking(key=key, limit_s=min(AWAIT_STEP_S, remaining_s))
            try:
                reply = await self._control.await_booking(request, remaining_s)
            except (NoControlError, UnknownBookingError) as error:
                reason = f'{STILL_RUNNING}: {error}'
                break
            if reply.booking.final():
                return reply.booking
        raise OutcomeUnknownError(reason=reason, key=key.key)


def answer_of(booking: Booking) -> StoredAnswer:
    """Returns the answer of a final booking.

    :param booking: a final booking.
    :raises NotRunError: if it certainly did not run.
    :raises OutcomeUnknownError: if it may have run.
    :raises IncompleteAnswerError: if it ran, but its answer was too large for the log.
    """
    answer = booking.answer or StoredAnswer(status=0)
    if booking.phase == phases.DONE and answer.reason:
        raise IncompleteAnswerError(reason=answer.reason, key=booking.key.key)
    if booking.phase == phases.DONE:
        return answer
    if booking.phase == phases.NOT_RUN:
        raise NotRunError(reason=answer.reason, key=booking.key.key)
    raise OutcomeUnknownError(reason=answer.reason, key=booking.key.key)
