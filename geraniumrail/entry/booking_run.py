"""Carries one booking from its record in the log to its stored outcome."""

import dataclasses
import random

from geraniumrail.backends.service_answer import ServiceAnswer
from geraniumrail.backends.service_call import ServiceCall
from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.core.ids import new_id
from geraniumrail.entry import events
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.entry.service_headers import content_type_of, request_headers
from geraniumrail.errors.backend import BackendError, NoBackendError, NotSentError, RefusedError
from geraniumrail.errors.link import NoControlError
from geraniumrail.routing.choice import choose
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.request import PlainRequest
from geraniumrail.settings.effective import Effective
from geraniumrail.state import booking as phases
from geraniumrail.state import commands
from geraniumrail.state.booking import Booking
from geraniumrail.state.stored_answer import StoredAnswer

PROPOSE_LIMIT_S = 8.0  # longer than an election
FINISH_LIMIT_S = 60.0
NO_BACKEND_LIMIT_S = 20.0
RETRY_DELAY_S = 0.2
OUTCOME_QUERIES = 5
MAX_STORED_BODY_BYTES = 262_144
SERVER_ERROR = 500


class BookingRun:
    """Invariant: at most one attempt is ever sent unless the log says that it did not run."""

    def __init__(
        self,
        entry: str,
        view: ClusterView,
        outcomes: Outcomes,
        control: ControlLink,
        client: ServiceClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Connects the parts.

        :param entry: id of this entry with its incarnation.
        :param view: settings and backend servers.
        :param outcomes: breaker and outcome log.
        :param control: the control leader.
        :param client: sends to plain services.
        :param clock: time.
        :param rng: source of routing draws and jitter.
        """
        self._entry = entry
        self._view = view
        self._outcomes = outcomes
        self._draw = rng.random()
        self._control = control
        self._client = client
        self._clock = clock
        self._rng = rng
        self._excluded: frozenset[str] = frozenset()
        self._sent = 0

    async def drive(self, booking: Booking) -> Booking:
        """Finishes a booking that this entry owns.

        :param booking: as the log has it.
        :raises GeraniumrailError: if the log could not be reached or has another owner.
        """
        if booking.phase == phases.DISPATCHED:
            # Another entry sent it and was lost: it may have run, so it is not sent again.
            return await self._resolve(booking, 'the entry that sent it was lost')
        end = self._clock.now() + NO_BACKEND_LIMIT_S
        while True:
            try:
                backend = self._choose(booking)
            except NoBackendError as error:
                self._excluded = frozenset()
                if self._clock.now() >= end:
                    return await self._finish(booking, phases.NOT_RUN, _failure(str(error)))
                await self._pause()
                continue
            finished = await self._attempt(booking, backend)
            if finished is not None:
                return finished
            await self._pause()

    async def _attempt(self, booking: Booking, backend: Backend) -> Booking | None:
        sent = await self._dispatch(booking, backend)
        sent_at = self._clock.now()
        try:
            answer = await self._send(sent, backend)
        except (NotSentError, RefusedError) as error:
            self._failed(sent, backend)
            await self._release(sent, str(error))
            return None
        except BackendError as error:
            self._failed(sent, backend)
            return await self._resolve(sent, str(error))
        failed = answer.status >= SERVER_ERROR
        self._observe(sent, backend, failed, self._clock.now() - sent_at)
        return await self._finish(sent, phases.DONE, stored(answer))

    def _failed(self, booking: Booking, backend: Backend) -> None:
        self._view.knowledge.failed(backend.instance, self._clock.now())
        self._excluded |= {backend.instance}
        known = self._view.backends_by_instance.get(backend.instance)
        if known is not None and known.state != 'leaving':
            self._observe(booking, backend, failed=True)

    def _observe(
        self,
        booking: Booking,
        backend: Backend,
        failed: bool,
        elapsed_s: float | None = None,
    ) -> None:
        self._outcomes.observe(
            booking.key.service,
            backend.version,
            booking.call.route,
            booking.key.organisation,
            failed,
            elapsed_s,
        )

    async def _dispatch(self, booking: Booking, backend: Backend) -> Booking:
        command = commands.DispatchBooking(
            key=booking.key,
            owner=self._entry,
            attempt=new_id('attempt'),
            backend=backend.instance,
        )
        result = await self._control.propose(command, PROPOSE_LIMIT_S)
        log(
            events.BOOKING_DISPATCHED,
            booking=booking.key.label(),
            attempt=command.attempt,
            backend=backend.instance,
        )
        return result.booking

    async def _send(self, booking: Booking, backend: Backend) -> ServiceAnswer:
        settings = self._settings(booking)
        self._sent += 1
        # Without a lease another entry may have been told to resolve this attempt.
        if not self._view.holds_lease():
            raise NotSentError(backend=backend.instance, reason='the settings lease ran out')
        call = ServiceCall(
            method=booking.call.method,
            path=booking.call.path,
            headers=request_headers(booking.call.content_type, booking.key.organisation),
            body=booking.call.body,
            request_id=booking.attempt,
            attempt=self._sent,
            key=booking.key.key,
            limit_s=settings.deadline_ms / 1000,
        )
        self._view.knowledge.sent(backend.instance, 1, (), self._clock.now())
        try:
            return await self._client.send(backend, call)
        finally:
            self._view.knowledge.finished(backend.instance, 1, self._clock.now())

    async def _resolve(self, booking: Booking, reason: str) -> Booking:
        """Asks the service what became of an attempt that may have run."""
        path = self._settings(booking).outcome_path
        for _ in range(OUTCOME_QUERIES if path else 0):
            for backend in self._view.candidates(booking.key.service):
                try:
                    answer = await self._client.outcome(backend, path, booking.key.key)
                except BackendError:
                    continue
                if isinstance(answer, ServiceAnswer):
                    return await self._finish(booking, phases.DONE, stored(answer))
            await self._pause()
        # An unknown key proves nothing: bytes of the attempt may still be on their way.
        return await self._finish(booking, phases.OUTCOME_UNKNOWN, _failure(reason))

    async def _release(self, booking: Booking, reason: str) -> None:
        command = commands.ReleaseBooking(
            key=booking.key,
            owner=self._entry,
            attempt=booking.attempt,
        )
        await self._control.propose(command, FINISH_LIMIT_S)
        log(events.BOOKING_RELEASED, booking=booking.key.label(), reason=reason)

    async def _finish(self, booking: Booking, phase: str, answer: StoredAnswer) -> Booking:
        command = commands.FinishBooking(
            key=booking.key,
            owner=self._entry,
            phase=phase,
            answer=answer,
            attempt=booking.attempt,
        )
        try:
            result = await self._control.propose(command, FINISH_LIMIT_S)
        except NoControlError:
            if phase == phases.NOT_RUN:
                raise  # another entry may take the booking over and run it
            # The answer is not in the log, but this process saw it and it can't change any more.
            return dataclasses.replace(booking, phase=phase, answer=answer)
        log(
            events.BOOKING_FINISHED,
            booking=booking.key.label(),
            phase=result.booking.phase,
            reason=answer.reason,
        )
        return result.booking

    def _choose(self, booking: Booking) -> Backend:
        version = self._outcomes.version(booking.key.service, booking.call.route, self._draw)
        request = PlainRequest(
            request_id=booking.key.label(),
            service=booking.key.service,
            data_centre='',
            region='',
            version_shares=((version, 1.0),) if version else (),
            excluded=self._excluded,
        )
        decision = choose(
            self._view.candidates(booking.key.service),
            request,
            self._view.knowledge,
            self._rng,
            self._clock.now(),
        )
        log_decision(decision)
        return decision.backend

    def _settings(self, booking: Booking) -> Effective:
        key = booking.key
        return self._view.effective(key.organisation, key.service, booking.call.route)

    async def _pause(self) -> None:
        await self._clock.sleep(RETRY_DELAY_S * (0.5 + self._rng.random()))


def stored(answer: ServiceAnswer) -> StoredAnswer:
    """Copies an answer of a backend server for the log.

    :param answer: the answer.
    """
    if len(answer.body) > MAX_STORED_BODY_BYTES:
        return StoredAnswer(
            status=answer.status,
            reason=f'the answer ran, but its {len(answer.body)} bytes are too large to be stored',
        )
    return StoredAnswer(
        status=answer.status,
        content_type=content_type_of(answer),
        body=answer.body,
    )


def _failure(reason: str) -> StoredAnswer:
    return StoredAnswer(status=0, reason=reason)
