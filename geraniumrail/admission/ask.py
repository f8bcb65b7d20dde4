"""What admission knows of a request."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ask:
    """A request that needs a place at a backend server."""

    organisation: str
    route: str
    rank: int = 5  # 0 is the most urgent
    target_s: float = 0  # of the route; 0: none
    due_at: float  # the target, or the end of its time if it has none; seconds of the clock
    ends_at: float  # its time has passed then
    is_repeat: bool = False  # an earlier attempt may have run
