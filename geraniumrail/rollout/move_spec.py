"""What a move controller needs to know about a move."""

import dataclasses

_MAX_CANARY_SHARE = 0.2
_MAX_DWELL_S = 5
# Of the time to the deadline; three or four steps lead to the full share.
_DWELL_PART = 1 / 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveSpec:
    """One requested move; times are wall seconds, because they outlive a control leader."""

    move_id: str
    service: str
    from_version: str
    to_version: str
    started_at: float
    deadline: float
    canary_share: float = 0.05
    watch_s: float = 120  # under the full share; shortened to a quarter of the time to the deadline

    @property
    def unproven_share(self) -> float:
        """Largest share of a version without enough evidence."""
        return min(self.canary_share, _MAX_CANARY_SHARE)

    @property
    def full_share(self) -> float:
        """Share under which the version is watched before the move is done.

        The rest stays with the old version, to compare with over the same minutes.
        """
        return 1 - self.unproven_share

    @property
    def dwell_s(self) -> float:
        """Least seconds under one share; a short move could not end in time otherwise."""
        return min(_MAX_DWELL_S, (self.deadline - self.started_at) * _DWELL_PART)

    @property
    def watch_duration_s(self) -> float:
        """Seconds to watch the version under the full share before the move is done."""
        return min(self.watch_s, (self.deadline - self.started_at) / 4)
