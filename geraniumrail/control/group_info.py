"""Information about the group and the time that the leader sends to an entry."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GroupInfo:
    """Members, clock error and usage window at the time of an update."""

    members: tuple[str, ...] = ()  # link addresses
    wall_error_s: float = 0  # time of day of the entry minus the median
    window_s: float = 0  # length of a usage window; 0: usage is not reported
