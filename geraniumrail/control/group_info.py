"""What the leader tells an entry about the group and the time."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GroupInfo:
    """Facts of one moment."""

    members: tuple[str, ...] = ()  # link addresses
    wall_error_s: float = 0  # time of day of the entry minus the agreed one
    window_s: float = 0  # length of a usage window; 0: usage is not reported
