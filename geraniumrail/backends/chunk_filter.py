"""Lets through each token of an attempt exactly once, in order."""

import bisect
import dataclasses
from typing import Any

import msgspec

from geraniumrail.backends.chunk import Chunk
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.events import CHUNK_DROPPED
from geraniumrail.core import events
from geraniumrail.core.malformed import MALFORMED

DONE = b'[DONE]'
_MALFORMED = (*MALFORMED, AttributeError, LookupError, TypeError)
_decoder = msgspec.json.Decoder(dict[str, Any])


class InvalidChunkError(ValueError):
    """The chunk can't belong to a whole answer."""


@dataclasses.dataclass
class DropCounts:
    """Chunks that were dropped, by reason."""

    crossed: int = 0  # of another request or attempt, or without ids
    repeated: int = 0  # all of its tokens were received before
    trimmed: int = 0  # some of its tokens were received before


class ChunkFilter:
    """Checks the events of one attempt."""

    def __init__(self, call: EngineCall, counts: DropCounts) -> None:
        """Starts at the resume offset.

        :param call: the attempt.
        :param counts: where dropped chunks are counted.
        """
        self.done = False
        self._request_id = call.request_id
        self._attempt = call.attempt
        self._next = call.resume_offset
        self._finished = False
        self._logged = False
        self._counts = counts
        self._offsets: list[int] = []
        self._texts: list[str] = []

    def accept(self, payload: bytes) -> Chunk | None:
        """Returns a chunk, or None if it is dropped; sets `done` at the end.

        :param payload: what follows `data:`.
        :raises InvalidChunkError: if tokens are missing before the chunk or it is malformed.
        """
        if payload == DONE:
            return self._end()
        try:
            return self._decode(payload)
        except _MALFORMED as error:
            raise InvalidChunkError(f'malformed event: {error!r}') from error

    def _end(self) -> None:
        # [DONE] names no request: a whole answer to another one may have been dropped before it.
        if not self._finished:
            raise InvalidChunkError('the end came before a finish reason')
        self.done = True

    def _decode(self, payload: bytes) -> Chunk | None:
        event = _decoder.decode(payload)
        ids = event.pop('geraniumrail', None)
        if ids is None:
            return self._without_ids(event)
        if ids['request_id'] != self._request_id or ids['attempt'] != self._attempt:
            return self._drop_crossed(ids)
        choices = event['choices']
        choice = choices[0] if choices else {}
        delta = choice.get('delta')
        role = None
        if delta is None:
            text = choice.get('text') or ''
        else:
            text = delta.get('content') or ''
            role = delta.get('role')
        chunk = Chunk(
            self._request_id,
            self._attempt,
            ids['offset'],
            text,
            ids.get('tokens', 1 if text else 0),
            choice.get('finish_reason'),
            role,
            event,
        )
        return self._in_order(chunk)

    def _without_ids(self, event: dict[str, Any]) -> None:
        if 'error' in event:
            raise InvalidChunkError('the engine reported {error!r}'.format(**event))
        self._drop_crossed(None)

    def _in_order(self, chunk: Chunk) -> Chunk | None:
        offset = chunk.offset
        if offset > self._next:
            raise InvalidChunkError(f'expected token {self._next}, got token {offset}')
        if chunk.tokens < (1 if chunk.text else 0):
            raise InvalidChunkError(f'{chunk.tokens} tokens for text {chunk.text!r}')
        if self._finished and chunk.event['choices']:
            return self._drop_repeated(chunk)
        if offset < self._next:
            if offset + chunk.tokens <= self._next:
                return self._drop_repeated(chunk)
            chunk = self._trim(chunk)
        if chunk.tokens:
            self._offsets.append(chunk.offset)
            self._texts.append(chunk.text)
            self._next = chunk.offset + chunk.tokens
        if chunk.finish_reason is not None:
            self._finished = True
        return chunk

    def _trim(self, chunk: Chunk) -> Chunk:
        """Removes the tokens received before; their text is known from where they started."""
        position = bisect.bisect_left(self._offsets, chunk.offset)
        known = chunk.offset in self._offsets[position : position + 1]
        seen = ''.join(self._texts[position:])
        if not (known and chunk.text.startswith(seen)):
            raise InvalidChunkError(f'tokens from {chunk.offset} differ from those received')
        self._counts.trimmed += 1
        text = chunk.text[len(seen) :]
        choice = chunk.event['choices'][0]
        delta = choice.get('delta')
        if delta is None:
            choice['text'] = text
        else:
            delta['content'] = text
        tokens = chunk.offset + chunk.tokens - self._next
        return msgspec.structs.replace(chunk, offset=self._next, text=text, tokens=tokens)

    def _drop_crossed(self, ids: dict[str, Any] | None) -> None:
        self._counts.crossed += 1
        self._log('crossed', ids)

    def _drop_repeated(self, chunk: Chunk) -> None:
        self._counts.repeated += 1
        self._log('repeated', chunk.offset)

    def _log(self, reason: str, found: object) -> None:
        """Logs the first drop of an attempt; the counts have the rest."""
        if not self._logged:
            self._logged = True
            events.log(
                CHUNK_DROPPED,
                reason=reason,
                request=self._request_id,
                attempt=self._attempt,
                found=found,
            )
