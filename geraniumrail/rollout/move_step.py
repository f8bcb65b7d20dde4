"""A change of the share of traffic that the new version receives."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveStep:
    """One step; a new step number also lets open breakers try the version again."""

    move_id: str
    step: int
    share: float
    reason: str
