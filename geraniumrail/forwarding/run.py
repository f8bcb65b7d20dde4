"""Carries one request to its answer, over as many attempts as its route allows."""

import asyncio
import functools
import itertools

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.deployment.route import STREAM
from geraniumrail.entry.lease_wait import may_send, regains_lease
from geraniumrail.errors.backend import (
    BackendError,
    NoBackendError,
    NotSentError,
    RefusedError,
    WithdrawnSendError,
)
from geraniumrail.errors.request import IncompleteAnswerError, NotRunError, OutcomeUnknownError
from geraniumrail.forwarding import events
from geraniumrail.forwarding.admitted import Admitted, allows, spread
from geraniumrail.forwarding.attempt import Attempt, has_ended
from geraniumrail.forwarding.choose_place import candidates_of, choose_place
from geraniumrail.forwarding.dialect import Sending
from geraniumrail.forwarding.event_splitter import EventSplitter, EventTooLongError
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts
from geraniumrail.forwarding.prefix_plans import prefix_plan
from geraniumrail.forwarding.reply import Reply
from geraniumrail.forwarding.run_notes import RunNotes
from geraniumrail.routing.rendezvous import preferred_instances
from geraniumrail.routing.request import LanguageRequest, PlainRequest, RouteRequest

# A refusal because the backend servers are full or gone; the next ones serve within this time.
FULL_RETRY_S = 0.4
# No backend server in an allowed region is a matter of the configuration, or of a region that is
# lost: coming back at once would change nothing.
NO_REGION_RETRY_S = 5.0
# A stream without an event for so many of the longest pauses of its route goes on elsewhere; its
# caller waits for twice as many.
STALLED_GAPS = 4
# A request that has lost so many backend servers may be what ends them.
MAX_LOST = 2
MAX_LOGGED_PARTS = 8  # of one prompt in a line of the log
# For a caller that takes a whole answer slowly; the largest takes a few seconds on a slow link.
DELIVERY_LIMIT_S = 60.0
_SERVER_ERROR = 500
# Callers take these statuses for the promise that a request did not run, and send it again.
_PROMISES = frozenset((408, 421, 429, 503))


class ForwardRun:
    """Invariant: unless the request may be repeated, at most one attempt may have run it."""

    def __init__(self, inbound: Inbound, admitted: Admitted, reply: Reply, parts: Parts) -> None:
        """Prepares a run.

        :param inbound: the caller's request.
        :param admitted: how it is forwarded.
        :param reply: the way back to the caller.
        :param parts: of the entry.
        """
        self._inbound = inbound
        self._admitted = admitted
        self._reply = reply
        self._parts = parts
        self._ends_at = admitted.ends_at
        self._limit: asyncio.Timeout | None = None  # of the present attempt
        self._draw = parts.rng.random()
        self._splitter = EventSplitter(inbound.last_event_id)
        self._excluded: frozenset[str] = frozenset()
        self._sent = 0  # attempts that count towards the limit of the route
        self._lost = 0  # backend servers that were lost before they had proved to survive it
        self._unsent = 0  # backend servers to which no connection could be made
        self._replaced = 0  # backend servers at whose address another one answered
        self._may_have_run = False
        self._notes = RunNotes(inbound, admitted, parts)

    async def answer(self) -> None:
        """Answers the request.

        :raises NotRunError: if it did not run.
        :raises OutcomeUnknownError: if it may have run, and may not be repeated.
        :raises IncompleteAnswerError: if its deadline has passed.
        """
        parts = self._parts
        parts.retries.record_request(self._admitted.service, parts.config.retry_share, self._now())
        failure: BackendError | None = None
        try:
            while True:
                failure = await self._try_once(failure)
                if failure is None:
                    return
                await self._prepare_next(failure)
        except asyncio.CancelledError:
            log(
                events.CALLER_LEFT,
                request=self._inbound.request_id,
                after_s=round(self._now() - self._inbound.arrived_at, 4),
                attempts=self._sent,
            )
            raise

    def expire(self) -> None:
        """Ends the request as if its time had passed."""
        self._ends_at = min(self._ends_at, self._now())
        is_over = self._limit is None or self._limit.expired()
        if not is_over and not self._reply.started:
            self._limit.reschedule(asyncio.get_running_loop().time())

    async def _try_once(self, failure: BackendError | None) -> BackendError | None:
        """Makes one attempt and returns its failure, or None if the answer was delivered."""
        view, config = self._parts.view, self._parts.config
        if not await regains_lease(view, self._left_s(), config.lease_wait_s, config.lease_lost_s):
            # Its data centre may have been evacuated, or its configuration replaced.
            reason = 'this entry has lost control'
            raise self._given_up(failure or BackendError(backend='', reason=reason))
        backend = await self._choose(failure)
        sending = Sending(
            backend=backend,
            organisation=self._admitted.organisation,
            left_s=self._left_s(),
            priority=self._admitted.priority,
            last_event_id=self._splitter.last_id,
        )
        attempt = Attempt(self._inbound, sending, self._parts.dialect)
        attempt.exchange.may_send = functools.partial(may_send, view, backend)
        name = f'{self._inbound.request_id}.{self._sent}'
        sent_at = self._now()
        self._sent += 1
        self._notes.sent(backend, name)
        try:
            self._limit = asyncio.timeout(max(0, self._left_s()))
            async with self._limit:
                return await self._exchange(attempt, sent_at)
        except TimeoutError:
            raise self._deadline_error(attempt) from None
        except BackendError as error:
            self._note_failure(attempt, error, sent_at)
            return error
        finally:
            attempt.close()
            self._notes.ended(backend, name)

    async def _exchange(self, attempt: Attempt, sent_at: float) -> BackendError | None:
        await attempt.open(self._parts.connections)
        self._notes.head(attempt)
        if self._admitted.route.kind == STREAM and attempt.is_success:
            await self._relay(attempt, sent_at)
            return None
        body = await attempt.read()
        self._parts.answer_sizes.record(
            self._admitted.route.name, len(body), self._parts.clock.now()
        )
        failed = attempt.status >= _SERVER_ERROR
        self._notes.answered(attempt, sent_at, failed=failed)
        if not failed and not attempt.is_success and not attempt.head.sealed:
            raise OutcomeUnknownError(reason='the answer has no signature')
        if failed and self._may_repeat(attempt.backend):
            self._may_have_run = True
            self._excluded |= {attempt.backend.instance}
            return BackendError(backend=attempt.backend.instance, reason=f'status {attempt.status}')
        if self._reply.started:
            raise IncompleteAnswerError(reason=f'status {attempt.status} after the first event')
        if attempt.status in _PROMISES:
            # A refusal would have been raised: the backend server doesn't say that it did not run.
            raise OutcomeUnknownError(reason=f'status {attempt.status} without a refusal')
        # The answer is whole; nothing else may follow a part of it.
        self._limit.reschedule(asyncio.get_running_loop().time() + DELIVERY_LIMIT_S)
        await self._reply.answer(attempt.status, attempt.headers, body)
        self._notes.log_end(attempt, self._sent, self._splitter.events)
        return None

    async def _relay(self, attempt: Attempt, sent_at: float) -> None:
        self._splitter.restart()
        known_events = self._splitter.events
        stall_s, stall = self._stall_s(), asyncio.timeout(None)
        try:
            async with stall:
                async for part in attempt.parts():
                    whole = self._feed(attempt, part)
                    if not whole:
                        continue
                    stall.reschedule(None)  # a slow caller is no stall
                    self._notes.first_event(attempt.backend, sent_at)
                    if not self._reply.started:
                        await self._reply.start(attempt.status, attempt.headers)
                    await self._reply.write(whole)
                    if stall_s is not None:
                        stall.reschedule(asyncio.get_running_loop().time() + stall_s)
        except TimeoutError:
            if not stall.expired():
                raise
            raise BackendError(
                backend=attempt.backend.instance, reason=f'no whole event for {stall_s} s'
            ) from None
        if self._splitter.rest or not self._reply.started:
            raise BackendError(
                backend=attempt.backend.instance,
                reason='the stream ended within an event',
            )
        await self._reply.finish()
        pauses = self._splitter.events - known_events - 1
        self._notes.ended_whole(attempt.backend, pauses)
        self._notes.log_end(attempt, self._sent, self._splitter.events)

    def _stall_s(self) -> float | None:
        """Returns how long a stream may be without a whole event, or None for no limit.

        Bytes alone are no progress. A stream that may not go on elsewhere is left to its caller,
        who leaves, and to the time of its route.
        """
        route = self._admitted.route
        if not route.repeatable or self._sent >= route.attempts:
            return None
        return max(self._parts.config.least_stall_s, STALLED_GAPS * route.gap_s)

    def _feed(self, attempt: Attempt, part: bytes) -> bytes:
        try:
            return self._splitter.feed(part)
        except EventTooLongError as error:
            backend = attempt.backend.instance
            raise BackendError(backend=backend, reason=str(error)) from error

    async def _prepare_next(self, failure: BackendError) -> None:
        """Returns if another attempt may be made.

        :raises GeraniumrailError: the final answer otherwise.
        """
        self._limit = None
        route, most = self._admitted.route, self._parts.config.connect_attempts
        # What this entry knows is old then, and the next ones may be gone as well.
        misled = self._unsent >= most or self._replaced >= max(most, route.attempts)
        unrepeatable = self._may_have_run and not route.repeatable
        if self._left_s() <= 0 or misled or unrepeatable:
            raise self._given_up(failure)
        if isinstance(failure, NotSentError):
            return
        quarantine = self._parts.watch.quarantine_of(self._admitted.service, self._admitted.traits)
        if quarantine is not None:
            raise self._given_up(failure)
        misdirected = failure.fields.get('wrong_instance')
        is_exhausted = self._sent >= self._admitted.route.attempts and not misdirected
        if is_exhausted or self._lost >= MAX_LOST:
            await self._check_ended(failure, is_exhausted)
        if not self._parts.retries.take_retry(self._admitted.service, self._now()):
            self._parts.recorder.retry_denied(self._admitted.service)
            log(
                events.RETRY_DENIED,
                request=self._inbound.request_id,
                service=self._admitted.service,
                attempts=self._sent,
                entries=self._parts.view.entry_count.highest,
            )
            raise self._given_up(failure)

    async def _check_ended(self, failure: BackendError, is_exhausted: bool) -> None:
        """A backend server that has ended does not count towards the limit of attempts."""
        backend = self._last
        known = self._parts.view.backends_by_instance.get(backend.instance)
        if isinstance(failure, RefusedError):
            raise self._given_up(failure)
        ended = known is None or await has_ended(backend, self._parts.config.probe_timeout_s)
        if self._lost >= MAX_LOST and ended:
            raise self._given_up(failure)
        if is_exhausted and not ended:
            raise self._given_up(failure)

    def _may_repeat(self, backend: Backend) -> bool:
        """Returns whether a failure that a backend server answered leads to another attempt."""
        route = self._admitted.route
        if not route.repeatable or self._sent >= route.attempts or self._reply.started:
            return False
        if all(each.instance == backend.instance for each in self._candidates()):
            return False
        return self._parts.retries.allows_retry(self._admitted.service, self._now())

    async def _choose(self, failure: BackendError | None) -> Backend:
        candidates = self._candidates()
        try:
            decision = await choose_place(
                self._inbound,
                self._admitted,
                self._parts,
                self._route_request(candidates, is_first=failure is None),
                is_repeat=self._may_have_run,
            )
        except NoBackendError as error:
            raise self._given_up(failure or error) from error
        except NotRunError as error:
            if self._may_have_run:
                raise IncompleteAnswerError(reason=str(error)) from error
            raise
        self._notes.expect_cached(decision.cached_tokens)
        self._last = decision.backend
        return decision.backend

    def _candidates(self) -> list[Backend]:
        return candidates_of(self._admitted, self._parts)

    def _route_request(self, candidates: list[Backend], *, is_first: bool) -> RouteRequest:
        inbound, parts = self._inbound, self._parts
        version = parts.outcomes.version(
            self._admitted.service, self._admitted.route.name, self._draw
        )
        common = {
            'request_id': inbound.request_id,
            'service': self._admitted.service,
            'data_centre': parts.data_centre,
            'region': parts.region,
            'version_shares': ((version, 1.0),) if version else (),
            'excluded': self._avoided(candidates),
        }
        if inbound.prompt_tokens is None:
            return PlainRequest(**common)
        shared = inbound.prefixes[: len(inbound.shared_parts)]
        sizes = tuple(itertools.accumulate(part.tokens for part in inbound.parts))
        plan = prefix_plan(parts, self._admitted.service, shared, sizes, is_first=is_first)
        preferred: tuple[str, ...] = ()
        if plan is None and shared:
            instances = [each.instance for each in candidates]
            preferred = preferred_instances(shared[-1], instances)
        return LanguageRequest(
            **common,
            model=inbound.model,
            prefixes=inbound.prefixes,
            prefix_tokens=sizes,
            prompt_tokens=inbound.prompt_tokens,
            preferred=preferred,
            plan=plan,
            shared_prefix_count=len(shared),
            expected_answer_tokens=inbound.output_tokens,
        )

    def _avoided(self, candidates: list[Backend]) -> frozenset[str]:
        now = self._now()
        knowledge = self._parts.view.knowledge
        usable = frozenset(each.instance for each in candidates)
        silent = frozenset(each for each in usable if knowledge.is_unresponsive(each, now))
        avoided = self._excluded | silent
        return avoided if usable - avoided else self._excluded

    def _note_failure(self, attempt: Attempt, error: BackendError, sent_at: float) -> None:
        backend, now = attempt.backend, self._now()
        knowledge = self._parts.view.knowledge
        is_withdrawn = isinstance(error, WithdrawnSendError)
        self._excluded |= frozenset() if is_withdrawn else {backend.instance}
        refused = isinstance(error, RefusedError)
        if is_withdrawn:
            self._sent -= 1
        elif isinstance(error, NotSentError):
            self._sent -= 1
            self._unsent += 1
            knowledge.mark_unresponsive(backend.instance, now)
        elif refused and error.fields.get('wrong_instance'):
            self._sent -= 1
            self._replaced += 1
            self._parts.view.forget(backend.instance)
        elif refused:
            self._notes.head(attempt)
        else:
            self._may_have_run = True
            self._notes.began(sent_at)
            knowledge.record_failure(backend.instance, now)
            self._notes.lost(backend)
            self._notes.disconnected(backend)
            self._lost += not self._notes.is_proved
        self._parts.recorder.attempt_failed(self._admitted.service, error.type_name)
        log(
            events.ATTEMPT_FAILED,
            request=self._inbound.request_id,
            backend=backend.instance,
            attempt=self._sent,
            after_s=round(now - sent_at, 4),
            status=attempt.status,
            last_event=self._splitter.last_id,
            view_age_s=round(now - self._parts.view.answered_at, 3),
            shared_parts=list(self._inbound.shared_part_ids[:MAX_LOGGED_PARTS]),
            fingerprint=self._admitted.traits[-1],
            type=error.type_name,
            reason=str(error),
        )

    def _deadline_error(self, attempt: Attempt) -> IncompleteAnswerError | NotRunError:
        if not attempt.exchange.connected and not self._may_have_run:
            return NotRunError(reason='no backend server took it in time')
        self._notes.began(self._now())
        self._notes.lost(attempt.backend)
        return IncompleteAnswerError(reason='the deadline has passed')

    def _given_up(
        self, failure: BackendError
    ) -> NotRunError | OutcomeUnknownError | IncompleteAnswerError:
        if not self._may_have_run:
            view = self._parts.view
            servers = view.servers(self._admitted.service)
            allowed = [backend for backend in servers if allows(self._admitted, backend)]
            opens_in_s = view.knowledge.opens_in_s(allowed, self._now())
            full_s = FULL_RETRY_S if allowed or not servers else NO_REGION_RETRY_S
            retry_after_s = failure.fields.get('retry_after_s') or opens_in_s or full_s
            return NotRunError(
                reason=str(failure),
                retry_after_s=spread(float(str(retry_after_s)), self._parts.rng),
            )
        if self._admitted.route.repeatable:
            return IncompleteAnswerError(reason=str(failure))
        return OutcomeUnknownError(reason=str(failure))

    def _left_s(self) -> float:
        return self._ends_at - self._now()

    def _now(self) -> float:
        return self._parts.clock.now()
