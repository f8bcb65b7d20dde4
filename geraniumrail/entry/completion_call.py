"""One request for a completion."""

import dataclasses


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

    @property
    def tokens(self) -> int:
        """Prompt and expected answer tokens."""
        return self.prompt_tokens + self.answer_tokens
