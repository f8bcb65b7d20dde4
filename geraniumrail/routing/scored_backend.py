"""A candidate with its score."""

import dataclasses

from geraniumrail.core.backend import Backend
from geraniumrail.routing.score_part import ScorePart


@dataclasses.dataclass(frozen=True)
class ScoredBackend:
    """A candidate and the parts of its score."""

    backend: Backend
    parts: tuple[ScorePart, ...]
    slowness: float = 1

    @property
    def total(self) -> float:
        """Expected cost in seconds."""
        return sum(part.amount for part in self.parts)
