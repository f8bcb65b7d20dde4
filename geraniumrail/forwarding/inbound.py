"""A request as a caller sent it."""

import dataclasses
import functools

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inbound:
    """Decoded once; what is forwarded stays as it was sent."""

    request_id: str
    method: str
    target: str  # path and query, as they were sent
    host: str
    headers: Headers  # without those of one connection and those that the system sets itself
    body: bytes = b''
    api_key: str | None = None
    deadline_s: float | None = None  # how long the caller will wait, counted from `arrived_at`
    prompt_tokens: int | None = None  # None: the request names no tokens
    output_tokens: int = 0  # the most that it asks for
    parts: tuple[PromptPart, ...] = ()
    model: str = ''
    last_event_id: str = ''  # the stream goes on after this event
    arrived_at: float = 0  # seconds of this process's clock

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share; the last one is of the request or its session."""
        return self.parts[:-1]

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the shared parts."""
        return tuple(part.part_id for part in self.shared_parts)

    @functools.cached_property
    def prefixes(self) -> tuple[str, ...]:
        """Names of the leading parts, each covering all parts before it."""
        ids = [part.part_id for part in self.parts]
        return tuple('/'.join(ids[: count + 1]) for count in range(len(ids)))

    @property
    def tokens(self) -> float | None:
        """Prompt and output tokens, or None if the request names none."""
        return None if self.prompt_tokens is None else self.prompt_tokens + self.output_tokens
