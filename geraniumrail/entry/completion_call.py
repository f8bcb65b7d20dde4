"""One request for a completion."""

import dataclasses
import functools
import json

from geraniumrail.quarantine.fingerprint import fingerprint_of


@dataclasses.dataclass(frozen=True, kw_only=True)
class CompletionCall:
    """What the entry knows of the request before it is queued."""

    request_id: str
    organisation: str
    service: str
    model: str
    path: str  # /v1/chat/completions or /v1/completions
    route: str
    body: dict[str, object]
    stream: bool
    adapter: str = ''
    prefixes: tuple[str, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0

    @functools.cached_property
    def traits(self) -> tuple[str, ...]:
        """What is remembered of it at a crash: the prompt prefixes and the whole request."""
        body = json.dumps(self.body, sort_keys=True).encode()
        return (*self.prefixes, fingerprint_of(self.organisation, 'POST', self.path, body))

    @property
    def tokens(self) -> int:
        """Prompt and expected answer tokens."""
        return self.prompt_tokens + self.answer_tokens
