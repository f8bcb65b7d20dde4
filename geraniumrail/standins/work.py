"""One completion at the stand-in engine, as its journal shows it."""

import dataclasses
import time
from collections.abc import Mapping
from typing import Any

from geraniumrail.standins import answer

# A journal of long prompts would not fit into memory.
_KEPT_CHARACTERS = 64


@dataclasses.dataclass(kw_only=True)
class Work:
    """A request in progress or done; `state` and the counters change."""

    request_id: str
    attempt: int
    priority: int
    prompt: str  # shortened when the request has ended
    prompt_digest: int
    prompt_tokens: int
    offset: int  # first token asked for
    end: int  # number of tokens of the whole answer
    version: str
    model: str
    route: str = ''
    leaving: bool = False  # it arrived after the engine announced that it is leaving
    resume_matches: bool = True  # the text sent for a resume is the text up to the offset
    state: str = 'queued'  # queued | running | finished | cancelled | disconnected | failed
    computed: int = 0  # answer tokens computed
    recomputed: int = 0  # answer tokens of earlier attempts whose KV had to be computed again
    cached_share: float = 0  # of the prompt
    started_at: float = 0  # wall clock, in seconds
    ended_at: float = 0

    @classmethod
    def from_body(
        cls,
        body: Mapping[str, Any],
        *,
        version: str,
        route: str,
        leaving: bool,
        number: int,
    ) -> 'Work':
        """Reads a completion body.

        :param body: OpenAI-style body with the extra fields.
        :param version: version of the engine now.
        :param route: `X-Route` header or `route` field.
        :param leaving: whether the engine is leaving.
        :param number: names the request if the body does not.
        """
        prompt = answer.prompt_of(body)
        resume = body.get('resume') or {}
        offset = int(resume.get('offset', 0))
        return cls(
            request_id=str(body.get('request_id', f'request-{number}')),
            attempt=int(body.get('attempt', 1)),
            priority=int(body.get('priority', 0)),
            prompt=prompt,
            prompt_digest=answer.digest(prompt),
            prompt_tokens=answer.prompt_tokens(prompt),
            offset=offset,
            end=answer.max_tokens_of(body),
            version=version,
            model=str(body.get('model', '')),
            route=route,
            leaving=leaving,
            resume_matches=resume.get('text', '') == answer.expected_text(prompt, offset),
            started_at=time.time(),
        )

    @property
    def key(self) -> tuple[str, int]:
        """Returns what identifies the attempt."""
        return self.request_id, self.attempt

    @property
    def done(self) -> bool:
        """Returns whether nothing more is computed."""
        return self.state not in {'queued', 'running'}

    def finish(self, state: str) -> None:
        """Records the end, once.

        :param state: `finished`, `cancelled`, `disconnected` or `failed`.
        """
        if not self.done:
            self.state = state
            self.ended_at = time.time()
            self.prompt = self.prompt[:_KEPT_CHARACTERS]
