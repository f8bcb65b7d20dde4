"""Carries one booking from its record in the log to its stored outcome."""

import random

from geraniumrail.backends.service_answer import ServiceAnswer, StillRunning
from geraniumrail.backends.service_call import ServiceCall
from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.core.ids import new_id
from geraniumrail.entry import events
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.lease_wait import may_send
from geraniumrail.entry.leaving_backend import is_leaving
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.entry.service_headers import content_type_of, request_headers
from geraniumrail.errors.backend import (
    BackendError,
    ConnectionLostError,
    NoBackendError,
    NotSentError,
    RefusedError,
)
from geraniumrail.errors.link import NoControlError
from geraniumrail.errors.request import NotRunError
from geraniumrail.quarantine.fingerprint import fingerprint_of
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.routing.choice import choose
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.request import PlainRequest
from geraniumrail.settings.effective import Effective
from geraniumrail.state import booking as phases
from geraniumrail.state import commands
from geraniumrail.state.booking import Booking
from geraniumrail.state.stored_answer import StoredAnswer

PROPOSE_LIMIT_S = 8.0  # longer than an election
NO_BACKEND_LIMIT_S = 20.0
NO_BACKEND_SHARE = 0.6  # of the deadline, so that a waiting caller hears not_run
RETRY_DELAY_S = 0.2
# A request that is still on its way, or a service that is starting again, is found a little later.
NO_OUTCOME_LIMIT_S = 5.0
ASKED_SERVERS = 4
MAX_STORED_BODY_BYTES = 262_144
SERVER_ERROR = 500
MS_PER_S = 1000


class BookingRun:
    """Invariant: at most one attempt is ever sent unless the log says that it did not run."""

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
        :param rng: source of routing draws and jitter.
        """
        self._entry = entry
        self._view = view
        self._outcomes = outcomes
        self._watch = watch
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
        :raises GeraniumrailError: if the log has another owner or phase.
        """
        if booking.phase == phases.DISPATCHED:
            # Another entry sent it and was lost: it may have run, so it is not sent again.
            return await self._resolve(booking, 'the entry that sent it was lost')
        limit_s = min(NO_BACKEND_LIMIT_S, NO_BACKEND_SHARE * self._deadline_s(booking))
        end = self._clock.now() + limit_s
        while True:
            if not self._view.holds_lease():
                await self._pause()
                continue
            try:
                self._watch.require_sound(
                    booking.key.service, _traits(booking), self._view.true_wall()
                )
            except NotRunError as error:
                return await self._finish(booking, phases.NOT_RUN, _failure(str(error)))
            try:
                backend = self._choose(booking)
            except NoBackendError as error:
                self._excluded = frozenset()
                if self._clock.now() >= end:
                    return await self._finish(booking, phases.NOT_RUN, _failure(str(error)))
                await self._pause()
                continue
            booking = await self._attempt(booking, backend)
            if booking.final():
                return booking
            await self._pause()

    async def _attempt(self, booking: Booking, backend: Backend) -> Booking:
        sent = await self._dispatch(booking, backend)
        # Without a lease another entry may have been told to resolve this attempt. Nothing waits
        # between this check and the first byte.
        if not may_send(self._view, backend):
            return await self._release(
                sent, 'the settings lease ran out, or nothing may be sent there'
            )
        sent_at = self._clock.now()
        try:
            answer = await self._send(sent, backend)
        except (NotSentError, RefusedError) as error:
            self._failed(sent, backend)
            if isinstance(error, RefusedError):
                pauses = self._view.knowledge.pauses
                pauses.begin_as_told(backend, error.fields, self._clock.now())
            return await self._release(sent, str(error))
        except BackendError as error:
            if isinstance(error, ConnectionLostError) and not is_leaving(self._view, backend):
                self._watch.record_loss(backend, _traits(sent))
            self._failed(sent, backend)
            return await self._resolve(sent, str(error))
        failed = answer.status >= SERVER_ERROR
        if not failed:
            self._watch.record_answer(backend.service, _traits(sent), sent_at)
        self._observe(sent, backend, failed, self._clock.now() - sent_at)
        return await self._finish(sent, phases.DONE, stored(answer))

    def _failed(self, booking: Booking, backend: Backend) -> None:
        self._view.knowledge.record_failure(backend.instance, self._clock.now())
        self._excluded |= {backend.instance}
        if not is_leaving(self._view, backend):
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
            epoch=booking.epoch,
        )
        sent = await self._propose(command)
        log(
            events.BOOKING_DISPATCHED,
            booking=booking.key.label(),
            attempt=command.attempt,
            backend=backend.instance,
        )
        return sent

    async def _propose(self, command: object) -> Booking:
        # The command may be in the log, and nobody else works on the booking while this entry
        # lives, so it is resent until it is answered.
        while True:
            try:
                result = await self._control.propose(command, PROPOSE_LIMIT_S)
            except NoControlError as error:
                log(events.TASK_FAILED, task=type(command).__name__, reason=str(error))
                continue
            return result.booking

    async def _send(self, booking: Booking, backend: Backend) -> ServiceAnswer:
        self._sent += 1
        call = ServiceCall(
            method=booking.call.method,
            path=booking.call.path,
            headers=request_headers(booking.call.content_type, booking.key.organisation),
            body=booking.call.body,
            request_id=booking.attempt,
            attempt=self._sent,
            key=booking.key.key,
            limit_s=self._deadline_s(booking),
        )
        self._view.knowledge.record_sent(backend.instance, 1, (), self._clock.now())
        try:
            return await self._client.send(backend, call)
        finally:
            self._view.knowledge.record_finished(backend.instance, 1, self._clock.now())

    async def _resolve(self, booking: Booking, reason: str) -> Booking:
        """Asks the service what became of an attempt that may have run."""
        path = self._settings(booking).outcome_path
        unknown_end = self._clock.now() + NO_OUTCOME_LIMIT_S
        running_end = self._clock.now() + self._deadline_s(booking)
        while path:
            found = await self._ask(booking, path)
            if isinstance(found, ServiceAnswer):
                return await self._finish(booking, phases.DONE, stored(found))
            if self._clock.now() >= (unknown_end if found is None else running_end):
                break
            await self._pause()
        # An unknown key proves nothing: bytes of the attempt may still be on their way.
        return await self._finish(booking, phases.OUTCOME_UNKNOWN, _failure(reason))

    async def _ask(self, booking: Booking, path: str) -> ServiceAnswer | StillRunning | None:
        # The server of the attempt knows most, also when it is leaving.
        servers = sorted(
            self._view.servers(booking.key.service),
            key=lambda server: (server.instance != booking.backend, self._rng.random()),
        )
        running: StillRunning | None = None
        for server in servers[:ASKED_SERVERS]:
            try:
                found = await self._client.outcome(server, path, booking.key.key)
            except BackendError:
                continue
            if isinstance(found, ServiceAnswer):
                return found
            running = running or found
        return running

    async def _release(self, booking: Booking, reason: str) -> Booking:
        command = commands.ReleaseBooking(
            key=booking.key,
            owner=self._entry,
            attempt=booking.attempt,
        )
        released = await self._propose(command)
        log(events.BOOKING_RELEASED, booking=booking.key.label(), reason=reason)
        return released

    async def _finish(self, booking: Booking, phase: str, answer: StoredAnswer) -> Booking:
        command = commands.FinishBooking(
            key=booking.key,
            owner=self._entry,
            phase=phase,
            answer=answer,
            attempt=booking.attempt,
            epoch=booking.epoch,
        )
        finished = await self._propose(command)
        log(
            events.BOOKING_FINISHED,
            booking=booking.key.label(),
            phase=finished.phase,
            reason=answer.reason,
        )
        return finished

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

    def _deadline_s(self, booking: Booking) -> float:
        return self._settings(booking).deadline_ms / MS_PER_S

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


def _traits(booking: Booking) -> tuple[str, ...]:
    call = booking.call
    return (fingerprint_of(booking.key.organisation, call.method, call.path, call.body),)


def _failure(reason: str) -> StoredAnswer:
    return StoredAnswer(status=0, reason=reason)
