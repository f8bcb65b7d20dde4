"""Streams answers from engines."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from geraniumrail.backends.attempt import attempt, read_limited
from geraniumrail.backends.chunk import Chunk
from geraniumrail.backends.chunk_filter import DropCounts
from geraniumrail.backends.chunk_stream import FIRST_TOKEN, ChunkStream
from geraniumrail.backends.connections import Connections
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.engine_control import EngineControl
from geraniumrail.backends.exchange import Exchange
from geraniumrail.backends.held_response import HeldResponse
from geraniumrail.core.backend import Backend
from geraniumrail.core.malformed import MALFORMED
from geraniumrail.errors.backend import BackendError, RefusedError

_HEADERS = (
    ('Content-Type', 'application/json'),
    ('Accept', 'text/event-stream'),
    ('Accept-Encoding', 'identity'),
)
_OK = 200
_REFUSALS = frozenset((429, 503))
_ERROR_LIMIT_BYTES = 64 * 1024
_NO_ERROR_TYPE = (*MALFORMED, LookupError, TypeError)


class EngineClient(EngineControl):
    """Client of engines; `dropped` counts the chunks that were not passed on."""

    def __init__(self, connections: Connections) -> None:
        """Creates the client.

        :param connections: owned by the caller.
        """
        super().__init__(connections)
        self.dropped = DropCounts()

    async def stream(self, backend: Backend, call: EngineCall) -> AsyncIterator[Chunk]:
        """Yields the tokens from the resume offset on, each exactly once and in order.

        The iterator ends normally only after the engine has sent a finish reason and `[DONE]`.
        Close it (`contextlib.aclosing`) when it is abandoned: that closes the connection.

        :param backend: the engine.
        :param call: the attempt.
        :raises NotSentError: if no connection was established.
        :raises RefusedError: if the engine refused before the first token.
        :raises StalledError: in phase `first_token` or `between_tokens`.
        :raises ConnectionLostError: if the stream ended early or can't be the answer.
        :raises BackendError: if the engine answered with another error.
        """
        started = asyncio.get_running_loop().time()
        response = await self._open(backend, call)
        spent_s = asyncio.get_running_loop().time() - started
        reader = ChunkStream(backend, call, response, self.dropped, spent_s)
        progress = reader.progress
        try:
            while not reader.done:
                for chunk in await reader.receive():
                    progress.pause()
                    yield chunk
                    progress.resume(progressed=chunk.tokens > 0)
            progress.stop()
            await reader.finish()
            response.accept()
        finally:
            progress.stop()
            response.close()

    async def _open(self, backend: Backend, call: EngineCall) -> HeldResponse:
        exchange = Exchange(request_id=call.request_id)
        async with attempt(backend, exchange, call.first_token_timeout_s, FIRST_TOKEN):
            response = await self._connections.request(
                backend,
                'POST',
                call.path,
                payload=call.encode(),
                headers=_HEADERS,
                exchange=exchange,
                fresh=call.fresh,
            )
            if response.status == _OK:
                return response
            try:
                payload = await read_limited(backend, response, _ERROR_LIMIT_BYTES)
            finally:
                response.close()
        raise _error_answer(backend, response, payload)


def _error_answer(backend: Backend, response: HeldResponse, payload: bytes) -> BackendError:
    try:
        error = msgspec.json.decode(payload, type=dict[str, Any])['error']['type']
    except _NO_ERROR_TYPE:
        error = None
    fields = {'backend': backend.instance, 'http_status': response.status, 'error_type': error}
    if error is not None and response.status in _REFUSALS:
        retry_after = response.headers.get('Retry-After')
        return RefusedError(**fields, reason=error, retry_after_s=retry_after)
    return BackendError(**fields, reason=f'status {response.status}')
