"""A step of a version move: a change of the traffic share of the new version."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveStep:
    """One step; a new step number also makes open circuit breakers half-open."""

    move_id: str
    step: int
    share: float
    reason: str
