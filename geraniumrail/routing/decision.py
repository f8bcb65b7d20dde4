"""The result of a routing decision."""

import dataclasses

from geraniumrail.core.backend import Backend
from geraniumrail.routing.score_part import ScorePart


@dataclasses.dataclass(frozen=True)
class Decision:
    """The chosen backend server and why; scores are seconds, the lowest wins."""

    request_id: str
    service: str
    backend: Backend
    score: float
    parts: tuple[ScorePart, ...]
    alternatives: tuple[tuple[str, float], ...]  # (instance, score) of the others that were scored
    reason: str
    cached_tokens: float | None = None  # prompt tokens expected to be cached there
    slowness: float = 1  # of the chosen one, relative to the other backend servers
