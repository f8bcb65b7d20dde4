"""Information about the group and the time that the leader sends to an entry."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GroupInfo:
    """What an update says of the group and of this entry's part in it."""

    members: tuple[str, ...] = ()  # link addresses
    wall_error_s: float = 0  # time of day of the entry minus the median
    window_s: float = 0  # length of a usage window; 0: usage is not reported
    # Requests a second that the entry may send, by limited backend server.
    engine_rates: dict[str, float] = dataclasses.field(default_factory=dict)
    # The same by cold backend server; None: unchanged.
    cold_rates: dict[str, float] | None = None
