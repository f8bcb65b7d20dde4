"""`POST /v1/chat/completions` and `POST /v1/completions`."""

import asyncio
import contextlib

import msgspec
from aiohttp import web

from geraniumrail.backends.chunk import Chunk
from geraniumrail.callers import events
from geraniumrail.callers.auth import owner_of
from geraniumrail.callers.bodies import BODY_TIMEOUT_S, parse_object, read_body
from geraniumrail.callers.completion_request import CHAT_PATH, describe, model_of
from geraniumrail.callers.failures import json_response
from geraniumrail.callers.serving import Serving
from geraniumrail.core.events import log
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.errors.base import GeraniumrailError

DONE = b'data: [DONE]\n\n'


class CompletionRoutes:
    """Answers completions, streamed or whole."""

    def __init__(self, serving: Serving) -> None:
        """Connects the entry.

        :param serving: the entry.
        """
        self._serving = serving

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [
            web.post(CHAT_PATH, self.complete),
            web.post('/v1/completions', self.complete),
        ]

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answers one completion.

        :param request: the HTTP request.
        """
        owner = owner_of(request, 'caller')
        self._serving.require_lease()
        body = parse_object(await read_body(request, self._serving.max_body_bytes()))
        service = self._serving.service_of(model_of(body))
        call = describe(request, body, owner.organisation, service)
        if call.stream:
            return await self._stream(request, call)
        return await self._whole(call)

    async def _stream(self, request: web.Request, call: CompletionCall) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream; charset=utf-8',
                'Cache-Control': 'no-cache',
                'X-Request-Id': call.request_id,
            },
        )
        if not self._serving.ready():
            response.force_close()
        async with contextlib.aclosing(self._serving.complete(call)) as chunks:
            try:
                async for chunk in chunks:
                    if not response.prepared:
                        await response.prepare(request)
                    await _write(request, response, _event(call, chunk))
            except GeraniumrailError as error:
                if not response.prepared:
                    raise
                log(events.STREAM_CUT, request=call.request_id, reason=str(error))
                await response.write(b'data: %b\n\n' % msgspec.json.encode(error.to_body()))
                return response
            except ConnectionError:
                log(events.CALLER_GONE, request=call.request_id)
                raise
        await response.write(DONE)
        return response

    async def _whole(self, call: CompletionCall) -> web.Response:
        texts: list[str] = []
        tokens = 0
        last: Chunk | None = None
        async with contextlib.aclosing(self._serving.complete(call)) as chunks:
            async for chunk in chunks:
                texts.append(chunk.text)
                tokens += chunk.tokens
                last = chunk
        body = _whole_body(call, ''.join(texts), tokens, last)
        response = json_response(body)
        response.headers['X-Request-Id'] = call.request_id
        return response


async def _write(request: web.Request, response: web.StreamResponse, event: bytes) -> None:
    """Sends an event; gives up on a caller whose connection takes nothing for too long.

    :raises ConnectionError: if the connection took nothing within the limit.
    """
    transport = request.transport
    if transport is None or not transport.get_write_buffer_size():
        await response.write(event)  # what nearly always holds needs no timer
        return
    try:
        async with asyncio.timeout(request.app[BODY_TIMEOUT_S]):
            await response.write(event)
    except TimeoutError as error:
        transport.abort()
        raise ConnectionResetError('the caller takes nothing') from error


def _event(call: CompletionCall, chunk: Chunk) -> bytes:
    event = {name: field for name, field in chunk.event.items() if name != 'geraniumrail'}
    event['id'] = call.request_id
    return b'data: %b\n\n' % msgspec.json.encode(event)


def _whole_body(
    call: CompletionCall,
    text: str,
    tokens: int,
    last: Chunk | None,
) -> dict[str, object]:
    chat = call.path == CHAT_PATH
    created = last.event.get('created', 0) if last else 0
    content: dict[str, object] = {'text': text}
    if chat:
        content = {'message': {'role': 'assistant', 'content': text}}
    reason = last.finish_reason if last else None
    return {
        'id': call.request_id,
        'object': 'chat.completion' if chat else 'text_completion',
        'created': created,
        'model': call.model,
        'choices': [{'index': 0, **content, 'finish_reason': reason or 'stop'}],
        'usage': {
            'prompt_tokens': call.prompt_tokens,
            'completion_tokens': tokens,
            'total_tokens': call.prompt_tokens + tokens,
        },
    }
