"""Counts requests and their timing around the entry."""

import contextlib
import time
from collections.abc import AsyncIterator

from geraniumrail.backends.chunk import Chunk
from geraniumrail.core.backend import Backend
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.entry import Entry
from geraniumrail.entry.plain_call import PlainAnswer, PlainCall
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.request import NotRunError, OutcomeUnknownError, OverloadedError
from geraniumrail.metrics.instruments import Instruments

OK = 'ok'
OUTCOMES_BY_TYPE = {
    NotRunError.type_name: 'not_run',
    OutcomeUnknownError.type_name: 'outcome_unknown',
}


class MeteredServing:
    """Implements `callers.serving.Serving` by an entry and records what its callers got."""

    def __init__(self, entry: Entry, instruments: Instruments) -> None:
        """Wraps an entry.

        :param entry: the entry.
        :param instruments: where to record.
        """
        self._entry = entry
        self._instruments = instruments
        self.require_lease = entry.require_lease
        self.entry_addresses = entry.entry_addresses
        self.models = entry.models
        self.service_of = entry.service_of
        self.ready = entry.ready
        self.max_body_bytes = entry.max_body_bytes

    def announce(self, backend: Backend) -> float:
        """Takes an announcement and returns after how many seconds to renew it.

        :param backend: the announcement.
        """
        return self._entry.announce(backend)

    async def complete(self, call: CompletionCall) -> AsyncIterator[Chunk]:
        """Yields the answer to a completion.

        :param call: the request.
        """
        timing = _Timing()
        outcome = 'caller_gone'
        try:
            async with contextlib.aclosing(self._entry.complete(call)) as chunks:
                async for chunk in chunks:
                    timing.count(chunk.tokens)
                    yield chunk
            outcome = OK
        except GeraniumrailError as error:
            outcome = self._failed(call.service, error)
            raise
        finally:
            self._completed(call, timing, outcome)

    async def call_service(self, call: PlainCall) -> PlainAnswer:
        """Sends a request to a plain service.

        :param call: the request.
        """
        outcome = OK
        booked = bool(call.idempotency_key)
        try:
            answer = await self._entry.call_service(call)
        except GeraniumrailError as error:
            outcome = self._failed(call.service, error)
            raise
        else:
            booked = bool(answer.idempotency_key)
            return answer
        finally:
            self._called(call, outcome, booked)

    def _called(self, call: PlainCall, outcome: str, booked: bool) -> None:
        route = self._route(call.organisation, call.service, call.route)
        self._instruments.requests.add(1, route, call.organisation, outcome)
        final = 'done' if outcome == OK else OUTCOMES_BY_TYPE.get(outcome)
        if booked and final:
            self._instruments.bookings.add(1, call.service, final)

    def _completed(self, call: CompletionCall, timing: '_Timing', outcome: str) -> None:
        instruments = self._instruments
        route = self._route(call.organisation, call.service, call.route)
        settings = self._entry.view.effective(call.organisation, call.service, call.route)
        labels = (call.service, settings.traffic_class)
        instruments.requests.add(1, route, call.organisation, outcome)
        instruments.tokens.add(timing.tokens, call.service, call.organisation, 'answer')
        instruments.tokens.add(call.prompt_tokens, call.service, call.organisation, 'prompt')
        if timing.tokens:
            instruments.first_token.record(timing.first_at - timing.arrived_at, *labels)
        if timing.tokens > 1:
            spent_s = timing.last_at - timing.first_at
            instruments.between_tokens.record(spent_s / (timing.tokens - 1), *labels)

    def _failed(self, service: str, error: GeraniumrailError) -> str:
        if isinstance(error, OverloadedError):
            self._instruments.shed.add(1, service, str(error.fields.get('reason')))
        return error.type_name

    def _route(self, organisation: str, service: str, route: str) -> str:
        """Returns the route if a node names it; callers could invent any number of others."""
        nodes = self._entry.view.tree.nodes_by_path
        named = (f'/*/{service}/{route}', f'/{organisation}/{service}/{route}')
        return route if any(path in nodes for path in named) else 'other'


class _Timing:
    def __init__(self) -> None:
        self.arrived_at = time.monotonic()
        self.first_at: float = 0
        self.last_at: float = 0
        self.tokens = 0

    def count(self, tokens: int) -> None:
        self.last_at = time.monotonic()
        self.first_at = self.first_at or self.last_at
        self.tokens += tokens
