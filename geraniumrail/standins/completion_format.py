"""OpenAI-style bodies of the stand-in engine."""

import dataclasses
from typing import Any

import msgspec

from geraniumrail.standins.work import Work

DONE = b'data: [DONE]\n\n'


@dataclasses.dataclass(frozen=True)
class CompletionFormat:
    """Builds the bodies of one request."""

    chat: bool
    work: Work

    def event(
        self,
        offset: int,
        text: str,
        *,
        finish_reason: str | None = None,
        tokens: int = 1,
        attempt: int | None = None,
        request_id: str | None = None,
    ) -> bytes:
        """Returns one server-sent event.

        :param offset: index of the first token in the chunk.
        :param text: text of the chunk.
        :param finish_reason: in the last chunk.
        :param tokens: number of tokens in the chunk.
        :param attempt: another attempt, for the fault `crossed`.
        :param request_id: another request, for the fault `crossed`.
        """
        ids = {
            'request_id': request_id or self.work.request_id,
            'attempt': self.work.attempt if attempt is None else attempt,
            'offset': offset,
            'tokens': tokens,
        }
        choice = self._choice(text, first=offset == self.work.offset)
        body = self._envelope('chunk', {**choice, 'finish_reason': finish_reason})
        return b'data: %b\n\n' % msgspec.json.encode({**body, 'geraniumrail': ids})

    def usage_event(self) -> bytes:
        """Returns the event asked for by `stream_options.include_usage`."""
        body = {**self._envelope('chunk', {}), 'choices': [], 'usage': self._usage()}
        ids = {'request_id': self.work.request_id, 'attempt': self.work.attempt}
        return b'data: %b\n\n' % msgspec.json.encode(
            {**body, 'geraniumrail': {**ids, 'offset': self.work.end, 'tokens': 0}}
        )

    def whole(self, text: str) -> dict[str, Any]:
        """Returns the body of an answer that is not streamed."""
        content: dict[str, Any] = {'text': text}
        if self.chat:
            content = {'message': {'role': 'assistant', 'content': text}}
        body = self._envelope('', {'index': 0, **content, 'finish_reason': 'length'})
        ids = {
            'request_id': self.work.request_id,
            'attempt': self.work.attempt,
            'offset': self.work.offset,
            'tokens': self.work.computed,
        }
        return {**body, 'usage': self._usage(), 'geraniumrail': ids}

    def _choice(self, text: str, *, first: bool) -> dict[str, Any]:
        if not self.chat:
            return {'index': 0, 'text': text}
        delta = {'role': 'assistant', 'content': text} if first else {'content': text}
        return {'index': 0, 'delta': delta}

    def _envelope(self, suffix: str, choice: dict[str, Any]) -> dict[str, Any]:
        kind = 'chat.completion' if self.chat else 'text_completion'
        return {
            'id': f'cmpl-{self.work.request_id}',
            'object': f'{kind}.{suffix}' if self.chat and suffix else kind,
            'created': int(self.work.started_at),
            'model': self.work.model,
            'choices': [choice],
        }

    def _usage(self) -> dict[str, int]:
        prompt = self.work.prompt_tokens
        total = self.work.offset + self.work.computed
        return {
            'prompt_tokens': prompt,
            'completion_tokens': total,
            'total_tokens': prompt + total,
        }
