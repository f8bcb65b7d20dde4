"""One term of a score."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ScorePart:
    """An expected cost in seconds."""

    name: str
    amount: float
