"""One attempt of a language model request."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import msgspec


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCall:
    """What to send, and how long to wait for it."""

    path: str  # /v1/chat/completions or /v1/completions
    body: Mapping[str, Any]  # as the caller sent it
    request_id: str
    attempt: int
    priority: int = 0  # lower numbers are served first
    resume_offset: int = 0  # tokens that the caller already has
    resume_text: str = ''  # the text of these tokens
    first_token_timeout_s: float = 10
    between_tokens_timeout_s: float = 5
    fresh: bool = False  # open a new connection

    def encode(self) -> bytes:
        """Returns the body for the engine."""
        body = {
            **self.body,
            'stream': True,
            'request_id': self.request_id,
            'attempt': self.attempt,
            'priority': self.priority,
        }
        if self.resume_offset:
            body['resume'] = {'offset': self.resume_offset, 'text': self.resume_text}
        return msgspec.json.encode(body)
