"""Carries one completion to its end, over as many attempts as it takes."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from geraniumrail.backends.chunk import Chunk
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.entry import events
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.completions import Completions
from geraniumrail.entry.lease_wait import regains_lease, require_servers
from geraniumrail.entry.leaving_backend import is_leaving
from geraniumrail.errors.backend import (
    BackendError,
    ConnectionLostError,
    NoBackendError,
    NotSentError,
    RefusedError,
    StalledError,
)
from geraniumrail.errors.request import IncompleteAnswerError, NotRunError
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.retry_budget import retry_delay_s
from geraniumrail.quarantine.part_watch import PROOF_S
from geraniumrail.routing.choice import choose
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.request import LanguageRequest

# A request that has lost so many engines before its answer began may be what ends them.
MAX_LOST = 3
PRIORITY_BY_CLASS = {'chat': 0, 'quick': 1, 'review': 2}


class CompletionRun:
    """Invariant: `offset` tokens, exactly `text`, have been handed to the caller."""

    def __init__(self, call: CompletionCall, shared: Completions) -> None:
        """Prepares a run.

        :param call: the request.
        :param shared: the parts that all runs share.
        """
        self.call = call
        self.shared = shared
        self.text = ''
        self.offset = 0
        self.attempts = 0
        self.settings = shared.view.effective(call.organisation, call.service, call.route)
        self._excluded: frozenset[str] = frozenset()
        self._draw = shared.rng.random()
        self._band = 0
        self._prefill_s: float = 0
        self._is_noted = False  # the answer of the present attempt is known to be sound
        self._lost_engines = 0  # before the answer had begun there
        self._chosen = ''  # engine that counts this request as sent
        self._end = shared.clock.now() + self.settings.deadline_ms / 1000

    async def chunks(self) -> AsyncIterator[Chunk]:
        """Yields the whole answer, in order, each token once.

        :raises OverloadedError: if the request is shed.
        :raises NotRunError: if no engine took it.
        :raises IncompleteAnswerError: if it could not be completed before its deadline.
        """
        shared = self.shared
        shared.watch.require_sound(self.call.service, self.call.traits, shared.view.true_wall())
        shared.admit(self.call, self.settings)
        shared.in_progress += 1
        try:
            async with contextlib.aclosing(self._attempts()) as chunks:
                async for chunk in chunks:
                    yield chunk
        finally:
            shared.in_progress -= 1
            shared.settle(self.call, self.offset)

    async def _attempts(self) -> AsyncIterator[Chunk]:
        while True:
            item = self._item()
            version = self.shared.outcomes.version(self.call.service, self.call.route, self._draw)
            admission = self.shared.admission(self.call.service, self.call.model, version)
            try:
                require_servers(self.shared.view, self.call.service)
                decision = await admission.turn(item, self._choose, self._remaining_s())
            except NoBackendError as error:
                raise self._given_up(str(error)) from error
            except asyncio.CancelledError:
                self._forget_choice()
                raise
            backend = decision.backend
            self._prefill_s = sum(part.amount for part in decision.parts if part.name == 'prefill')
            before = self.offset
            try:
                async with contextlib.aclosing(self._attempt(backend)) as chunks:
                    async for chunk in chunks:
                        yield chunk
            except BackendError as error:
                failure = error
            else:
                return
            finally:
                prompt = self.call.prompt_tokens if self.attempts == 1 else before
                admission.release(item, backend.instance, prompt + self.offset - before)
            await self._lost(backend, failure, progressed=self.offset > before)

    async def _attempt(self, backend: Backend) -> AsyncIterator[Chunk]:
        self.attempts += 1
        shared, call = self.shared, self.call
        self._is_noted = False
        attempt = f'{call.request_id}.{self.attempts}'
        sent_at = shared.clock.now()
        self._band = shared.outcomes.band(backend)
        shared.outcomes.breaker.start_wait(
            attempt,
            call.service,
            backend.version,
            call.route,
            sent_at,
            self._band,
        )
        timing = _Timing(sent_at)
        stream = shared.client.stream(backend, self._engine_call())
        ended = False
        try:
            async with contextlib.aclosing(stream) as chunks:
                async for chunk in chunks:
                    timing = timing.with_chunk(chunk, shared.clock.now())
                    if timing.tokens == chunk.tokens:
                        self._first_token(backend, attempt, timing)
                    self._note_answer(timing)
                    self.text += chunk.text
                    self.offset += chunk.tokens
                    yield chunk
        except BackendError as error:
            ended = not isinstance(error, StalledError)
            self._ended(backend, attempt, timing, failed=True)
            if isinstance(error, ConnectionLostError) and not timing.is_proved:
                self._disconnected(backend)
            raise
        else:
            ended = True
            shared.watch.record_answer(call.service, call.traits, timing.first_at or sent_at)
            self._ended(backend, attempt, timing, failed=False)
        finally:
            if not ended:
                # The caller is gone, or the connection may be too silent to carry its end.
                shared.outcomes.breaker.end_wait(attempt, call.service, call.route)
                shared.cancel(backend, call.request_id, self.attempts)
            self._forget_choice()

    def _note_answer(self, timing: '_Timing') -> None:
        if timing.is_proved and not self._is_noted:
            self._is_noted = True
            self.shared.watch.record_answer(self.call.service, self.call.traits, timing.first_at)

    def _disconnected(self, backend: Backend) -> None:
        if not self._announced(backend):
            self._lost_engines += 1
            self.shared.watch.record_loss(backend, self.call.traits)

    def _engine_call(self) -> EngineCall:
        settings = self.settings
        return EngineCall(
            path=self.call.path,
            body=self.call.body,
            request_id=self.call.request_id,
            attempt=self.attempts,
            priority=PRIORITY_BY_CLASS.get(settings.traffic_class, 1),
            resume_offset=self.offset,
            resume_text=self.text,
            first_token_timeout_s=settings.first_token_timeout_ms / 1000,
            between_tokens_timeout_s=settings.between_tokens_timeout_ms / 1000,
            fresh=self.attempts > 1,
        )

    def _first_token(self, backend: Backend, attempt: str, timing: '_Timing') -> None:
        call, shared = self.call, self.shared
        now = shared.clock.now()
        shared.outcomes.breaker.end_wait(attempt, call.service, call.route)
        target_s = self.settings.first_token_ms / 1000
        wait_s = max(0, timing.first_token_s - self._prefill_s)
        shared.window.record_first_token(backend.instance, wait_s, target_s, now)
        if not self.offset:
            self._observe(backend, failed=None, first_token_s=timing.first_token_s)

    def _ended(self, backend: Backend, attempt: str, timing: '_Timing', failed: bool) -> None:
        call, shared = self.call, self.shared
        shared.outcomes.breaker.end_wait(attempt, call.service, call.route)
        if failed and self._announced(backend):
            return  # an announced loss of the instance is no fault of the version
        self._observe(backend, failed=failed, between_tokens_s=timing.between_tokens_s)

    def _announced(self, backend: Backend) -> bool:
        return is_leaving(self.shared.view, backend)

    def _observe(
        self,
        backend: Backend,
        failed: bool | None,
        first_token_s: float | None = None,
        between_tokens_s: float | None = None,
    ) -> None:
        self.shared.outcomes.observe(
            self.call.service,
            backend.version,
            self.call.route,
            self.call.organisation,
            failed,
            first_token_s,
            between_tokens_s,
            self._band,
        )

    async def _lost(self, backend: Backend, error: BackendError, progressed: bool) -> None:
        """Prepares the next attempt, or gives up at the deadline."""
        shared = self.shared
        now = shared.clock.now()
        shared.view.knowledge.record_failure(backend.instance, now)
        if isinstance(error, RefusedError):
            shared.view.knowledge.pauses.begin_as_told(backend, error.fields, now)
        if isinstance(error, (StalledError, NotSentError)):
            shared.view.knowledge.mark_unresponsive(backend.instance, now)
        self._excluded |= {backend.instance}
        log(
            events.STREAM_RESUMED,
            request=self.call.request_id,
            backend=backend.instance,
            offset=self.offset,
            attempt=self.attempts,
            reason=str(error),
        )
        await self._check_harmless(backend, error)
        if not await regains_lease(shared.view, self._remaining_s()):
            raise self._given_up(str(error)) from error
        # Resumes of lost instances cause no more work than was accepted, and the fair queue keeps
        # the engines' queues short, so an exhausted budget only delays them.
        delayed_once = progressed or isinstance(error, NotSentError) or self._announced(backend)
        while not shared.retries.take_retry(self.call.service, shared.clock.now()):
            if self._remaining_s() <= 0:
                raise self._given_up(str(error)) from error
            await shared.clock.sleep(retry_delay_s(self.attempts, shared.rng))
            if delayed_once:
                break
        if self._remaining_s() <= 0:
            raise self._given_up(str(error)) from error

    async def _check_harmless(self, backend: Backend, error: BackendError) -> None:
        """Checks that the request is not known or likely to end the next engine too.

        :raises IncompleteAnswerError: if it is.
        """
        watch = self.shared.watch
        if watch.quarantine_of(self.call.service, self.call.traits) is not None:
            raise self._given_up(str(error)) from error
        if self._lost_engines >= MAX_LOST and await watch.refuses_connections(backend):
            raise self._given_up(str(error)) from error

    def _given_up(self, reason: str) -> IncompleteAnswerError | NotRunError:
        if self.attempts:
            return IncompleteAnswerError(reason=reason)
        return NotRunError(reason=reason)

    def _item(self) -> QueueItem:
        settings = self.settings
        is_review = settings.traffic_class == 'review'
        return QueueItem(
            item_id=f'{self.call.request_id}.{self.attempts}',
            organisation=self.call.organisation,
            traffic_class=settings.traffic_class,
            tokens=max(1, self.call.tokens - self.offset),
            weight=settings.weight,
            completion_bound_s=settings.review_completion_s if is_review else None,
            queue_limit=settings.queue_limit,
            resumed=self.attempts > 0,
        )

    def _choose(self, window: EngineWindow) -> Decision:
        call, shared = self.call, self.shared
        now = shared.clock.now()
        candidates = shared.view.candidates(call.service)
        full = frozenset(
            backend.instance
            for backend in candidates
            if not window.allows(backend.instance, self.settings.traffic_class)
        )
        shares = self._version()
        request = LanguageRequest(
            request_id=call.request_id,
            service=call.service,
            data_centre=shared.place.data_centre,
            region=shared.place.region,
            version_shares=shares,
            excluded=self._avoided(candidates, shares) | full,
            traffic_class=self.settings.traffic_class,
            model=call.model,
            adapter=call.adapter,
            prefixes=call.prefixes,
            prompt_tokens=call.prompt_tokens,
            expected_answer_tokens=call.answer_tokens,
        )
        decision = choose(candidates, request, shared.view.knowledge, shared.rng, now)
        log_decision(decision)
        # Counted here and not when the attempt starts: several turns are granted at once, and all
        # of them would choose the same engine.
        self._chosen = decision.backend.instance
        shared.view.knowledge.record_sent(self._chosen, call.tokens, call.prefixes, now)
        return decision

    def _forget_choice(self) -> None:
        if self._chosen:
            now = self.shared.clock.now()
            self.shared.view.knowledge.record_finished(self._chosen, self.call.tokens, now)
            self._chosen = ''

    def _avoided(
        self, candidates: list[Backend], shares: tuple[tuple[str, float], ...]
    ) -> frozenset[str]:
        """Returns the engines not to try; better one that failed before than none."""
        versions = dict(shares)
        usable = frozenset(
            backend.instance
            for backend in candidates
            if self.call.model in backend.models and (not versions or backend.version in versions)
        )
        now = self.shared.clock.now()
        silent = frozenset(
            each for each in usable if self.shared.view.knowledge.is_unresponsive(each, now)
        )
        avoided = (self._excluded | silent, self._excluded)
        return next((each for each in avoided if usable - each), frozenset())

    def _version(self) -> tuple[tuple[str, float], ...]:
        call = self.call
        version = self.shared.outcomes.version(call.service, call.route, self._draw)
        return ((version, 1.0),) if version else ()

    def _remaining_s(self) -> float:
        return self._end - self.shared.clock.now()


@dataclasses.dataclass(frozen=True)
class _Timing:
    sent_at: float
    first_at: float = 0
    last_at: float = 0
    tokens: int = 0

    def with_chunk(self, chunk: Chunk, now: float) -> '_Timing':
        return dataclasses.replace(
            self,
            first_at=self.first_at or now,
            last_at=now,
            tokens=self.tokens + chunk.tokens,
        )

    @property
    def is_proved(self) -> bool:
        """The engine went on for long enough after the first token."""
        return self.tokens > 0 and self.last_at - self.first_at >= PROOF_S

    @property
    def first_token_s(self) -> float:
        return self.first_at - self.sent_at

    @property
    def between_tokens_s(self) -> float | None:
        if self.tokens < 2:
            return None
        return (self.last_at - self.first_at) / (self.tokens - 1)
