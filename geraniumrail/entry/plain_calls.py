"""Requests to plain services: repeatable ones are retried, the others go through the log."""

import dataclasses
import hashlib
import itertools
import random

from geraniumrail.backends.service_answer import ServiceAnswer
from geraniumrail.backends.service_call import ServiceCall
from geraniumrail.backends.service_client import ServiceClient
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.ids import new_id
from geraniumrail.entry.bookings import Bookings
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.lease_wait import LEASE_WAIT_S, regains_lease
from geraniumrail.entry.leaving_backend import is_leaving
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.entry.plain_call import PlainAnswer, PlainCall
from geraniumrail.entry.service_headers import content_type_of, request_headers
from geraniumrail.errors.backend import (
    BackendError,
    ConnectionLostError,
    NoBackendError,
    RefusedError,
)
from geraniumrail.errors.request import IncompleteAnswerError, NotRunError, UnknownServiceError
from geraniumrail.fairness.limits import Limits
from geraniumrail.fairness.organisation_limit import OrganisationLimit
from geraniumrail.fairness.retry_budget import RetryBudget, retry_delay_s
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.routing.choice import choose
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.request import PlainRequest
from geraniumrail.settings.effective import Effective
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.stored_call import StoredCall

SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
SERVER_ERROR = 500
# A call that has lost so many backend servers may be what ends them.
MAX_LOST = 2


@dataclasses.dataclass(frozen=True)
class PlainParts:
    """What the calls of this entry share."""

    view: ClusterView
    outcomes: Outcomes
    limits: Limits
    retries: RetryBudget
    client: ServiceClient
    watch: PartWatch
    clock: Clock
    rng: random.Random


class PlainCalls:
    """Sends requests to plain services."""

    def __init__(
        self,
        parts: PlainParts,
        bookings: Bookings,
        data_centre: str,
        region: str,
    ) -> None:
        """Connects the parts.

        :param parts: what the calls share.
        :param bookings: runs requests that may not be repeated.
        :param data_centre: where this entry stands.
        :param region: where this entry stands.
        """
        self.in_progress = 0
        self._parts = parts
        self._bookings = bookings
        self._data_centre = data_centre
        self._region = region

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Sends one request.

        :param call: the request.
        :raises UnknownServiceError: if the service is not known.
        :raises RequestError: if it was not answered.
        """
        parts = self._parts
        settings = parts.view.effective(call.organisation, call.service, call.route)
        self._check_service(call)
        limit = OrganisationLimit(
            requests_per_s=settings.requests_per_s,
            tokens_per_s=settings.tokens_per_s,
            concurrent=settings.max_concurrent,
        )
        parts.limits.admit(call.organisation, 1, limit, parts.clock.now())
        self.in_progress += 1
        try:
            return await self._send(call, settings)
        finally:
            self.in_progress -= 1
            parts.limits.finish(call.organisation, 1, 1, parts.clock.now())

    async def _send(self, call: PlainCall, settings: Effective) -> PlainAnswer:
        repeatable = call.method in SAFE_METHODS or settings.repeatable
        if repeatable and not call.idempotency_key:
            return await self._repeat(call, settings)
        key = BookingKey(
            organisation=call.organisation,
            service=call.service,
            key=call.idempotency_key or new_id('key'),
        )
        stored = StoredCall(
            method=call.method,
            path=call.path,
            route=call.route,
            content_type=call.content_type,
            body=call.body,
        )
        limit_s = settings.deadline_ms / 1000
        answer = await self._bookings.answer(key, _digest(call), stored, limit_s)
        return PlainAnswer(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            idempotency_key=key.key,
        )

    async def _repeat(self, call: PlainCall, settings: Effective) -> PlainAnswer:
        parts = self._parts
        parts.watch.require_sound(call.service, call.traits, parts.view.true_wall())
        end = parts.clock.now() + settings.deadline_ms / 1000
        parts.retries.record_request(call.service, settings.retry_budget, parts.clock.now())
        excluded: frozenset[str] = frozenset()
        draw = parts.rng.random()
        lost = 0
        failure: BackendError | None = None
        for attempt in itertools.count(1):
            backend = self._choose(call, excluded, draw, failure)
            try:
                answer = await self._attempt(call, backend, end, attempt)
            except BackendError as error:
                failure = error
                excluded |= {backend.instance}
                lost += isinstance(error, ConnectionLostError)
                await self._check_retry(call, backend, error, lost)
                await parts.clock.sleep(retry_delay_s(attempt, parts.rng))
                if parts.clock.now() >= end:
                    raise IncompleteAnswerError(reason=str(error)) from error
                continue
            return PlainAnswer(
                status=answer.status,
                content_type=content_type_of(answer),
                body=answer.body,
            )

    async def _check_retry(
        self, call: PlainCall, backend: Backend, error: BackendError, lost: int
    ) -> None:
        """Checks that a call may be sent once more.

        :raises IncompleteAnswerError: if it may not.
        """
        parts = self._parts
        is_held = parts.watch.quarantine_of(call.service, call.traits) is not None
        if is_held or not await regains_lease(parts.view, LEASE_WAIT_S):
            raise IncompleteAnswerError(reason=str(error)) from error
        if lost >= MAX_LOST and await parts.watch.refuses_connections(backend):
            raise IncompleteAnswerError(reason=str(error)) from error
        if not parts.retries.take_retry(call.service, parts.clock.now()):
            raise IncompleteAnswerError(reason=f'{error}; retry budget used up') from error

    async def _attempt(
        self,
        call: PlainCall,
        backend: Backend,
        end: float,
        attempt: int,
    ) -> ServiceAnswer:
        parts = self._parts
        sent_at = parts.clock.now()
        sent = ServiceCall(
            method=call.method,
            path=call.path,
            headers=request_headers(call.content_type, call.organisation),
            body=call.body,
            request_id=call.request_id,
            attempt=attempt,
            limit_s=max(0.05, end - sent_at),
        )
        parts.view.knowledge.record_sent(backend.instance, 1, (), sent_at)
        try:
            answer = await parts.client.send(backend, sent)
        except BackendError as error:
            now = parts.clock.now()
            parts.view.knowledge.record_failure(backend.instance, now)
            if isinstance(error, RefusedError):
                parts.view.knowledge.pauses.begin_as_told(backend, error.fields, now)
            if isinstance(error, ConnectionLostError) and not is_leaving(parts.view, backend):
                parts.watch.record_loss(backend, call.traits)
            self._observe(call, backend, failed=True)
            raise
        finally:
            parts.view.knowledge.record_finished(backend.instance, 1, parts.clock.now())
        elapsed_s = parts.clock.now() - sent_at
        failed = answer.status >= SERVER_ERROR
        if not failed:
            parts.watch.record_answer(call.service, call.traits, sent_at)
        self._observe(call, backend, failed, elapsed_s)
        return answer

    def _observe(
        self,
        call: PlainCall,
        backend: Backend,
        failed: bool,
        elapsed_s: float | None = None,
    ) -> None:
        self._parts.outcomes.observe(
            call.service,
            backend.version,
            call.route,
            call.organisation,
            failed,
            elapsed_s,
        )

    def _choose(
        self,
        call: PlainCall,
        excluded: frozenset[str],
        draw: float,
        failure: BackendError | None,
    ) -> Backend:
        parts = self._parts
        candidates = parts.view.candidates(call.service)
        if all(backend.instance in excluded for backend in candidates):
            excluded = frozenset()
        version = parts.outcomes.version(call.service, call.route, draw)
        request = PlainRequest(
            request_id=call.request_id,
            service=call.service,
            data_centre=self._data_centre,
            region=self._region,
            version_shares=((version, 1.0),) if version else (),
            excluded=excluded,
        )
        try:
            decision = choose(
                candidates,
                request,
                parts.view.knowledge,
                parts.rng,
                parts.clock.now(),
            )
        except NoBackendError as error:
            if failure is not None:
                raise IncompleteAnswerError(reason=str(failure)) from error
            raise NotRunError(reason=str(error)) from error
        log_decision(decision)
        return decision.backend

    def _check_service(self, call: PlainCall) -> None:
        view = self._parts.view
        known = any(
            backend.service == call.service for backend in view.backends_by_instance.values()
        )
        if not known and f'/*/{call.service}' not in view.tree.nodes_by_path:
            raise UnknownServiceError(service=call.service)


def _digest(call: PlainCall) -> str:
    head = f'{call.method} {call.path} {call.content_type}'
    return hashlib.blake2b(b'%b\0%b' % (head.encode(), call.body), digest_size=16).hexdigest()
