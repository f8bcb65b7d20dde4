"""Reads the chunks of one response."""

import asyncio
import contextlib

from geraniumrail.backends.attempt import FAILURES
from geraniumrail.backends.chunk import Chunk
from geraniumrail.backends.chunk_filter import ChunkFilter, DropCounts, InvalidChunkError
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.event_lines import EventLines, LineTooLongError
from geraniumrail.backends.held_response import HeldResponse
from geraniumrail.backends.progress import Phase, Progress
from geraniumrail.core.backend import Backend
from geraniumrail.errors.backend import ConnectionLostError, InvalidStreamError, StalledError

FIRST_TOKEN = 'first_token'
BETWEEN_TOKENS = 'between_tokens'
_LINE_LIMIT_BYTES = 1024 * 1024
# The end of the HTTP body normally comes with [DONE]; the caller's answer does not wait for more.
_END_LIMIT_S = 0.05


class ChunkStream:
    """Bytes of a response, turned into checked chunks."""

    def __init__(
        self,
        backend: Backend,
        call: EngineCall,
        response: HeldResponse,
        counts: DropCounts,
        spent_s: float,
    ) -> None:
        """Starts to wait for the first token.

        :param backend: named in the errors.
        :param call: the attempt.
        :param response: its head has arrived.
        :param counts: where dropped chunks are counted.
        :param spent_s: time since the request was sent, in seconds.
        """
        self._backend = backend
        self._response = response
        self._content = response.content
        self._filter = ChunkFilter(call, counts)
        self._lines = EventLines(_LINE_LIMIT_BYTES)
        self._failure: InvalidStreamError | None = None
        first = Phase(FIRST_TOKEN, call.first_token_timeout_s)
        following = Phase(BETWEEN_TOKENS, call.between_tokens_timeout_s)
        self.progress = Progress(
            first,
            following,
            spent_s=spent_s,
            stall=self._stall,
            loop=asyncio.get_running_loop(),
        )

    @property
    def done(self) -> bool:
        """Returns whether the answer is whole."""
        return self._filter.done

    async def receive(self) -> list[Chunk]:
        """Returns the chunks that come with the next bytes.

        :raises StalledError: if the time limit of the phase has passed.
        :raises InvalidStreamError: if a chunk can't belong to the answer.
        :raises ConnectionLostError: if there are no more bytes.
        """
        if self._failure is not None:
            raise self._failure
        try:
            received = await self._content.readany()
        except FAILURES as error:
            raise self._lost(repr(error)) from error
        self._response.pass_on(self._response.held_bytes)
        if not received:
            raise self._lost('end of stream without [DONE]')
        chunks: list[Chunk] = []
        try:
            self._check(self._lines.feed(received), chunks)
        except (InvalidChunkError, LineTooLongError) as error:
            # Raised after the chunks before it have been passed on.
            fields = {'backend': self._backend.instance, 'reason': str(error)}
            self._failure = InvalidStreamError(**fields)
        return chunks

    def _check(self, payloads: list[bytes], chunks: list[Chunk]) -> None:
        for payload in payloads:
            chunk = self._filter.accept(payload)
            if chunk is not None:
                chunks.append(chunk)
            elif self._filter.done:
                return

    async def finish(self) -> None:
        """Reads the end of the body, so that the connection can be reused."""
        if self._content.at_eof():
            return
        with contextlib.suppress(*FAILURES):
            async with asyncio.timeout(_END_LIMIT_S):
                await self._content.readany()

    def _stall(self, phase: Phase) -> None:
        fields = {'backend': self._backend.instance, 'phase': phase.name}
        self._content.set_exception(StalledError(**fields, limit_s=phase.limit_s))

    def _lost(self, reason: str) -> ConnectionLostError:
        return ConnectionLostError(backend=self._backend.instance, reason=reason)
