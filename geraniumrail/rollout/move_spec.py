"""Parameters of a version move."""

import dataclasses

_MAX_CANARY_SHARE = 0.2
_MAX_DWELL_S = 5
# Of the time to the deadline; three or four steps lead to the largest share.
_DWELL_FRACTION = 1 / 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveSpec:
    """One requested move; times are wall seconds, which stay valid when the leader changes."""

    move_id: str
    service: str
    from_version: str
    to_version: str
    started_at: float
    deadline: float
    canary_share: float = 0.05
    nominal_watch_s: float = 120  # a short move has less, see `watch_s`

    @property
    def capped_canary_share(self) -> float:
        """Share of a version until there is enough evidence for a larger one."""
        return min(self.canary_share, _MAX_CANARY_SHARE)

    @property
    def max_share(self) -> float:
        """Largest share before the move is done; the version is watched at this share.

        The rest of the traffic stays on the old version, for the comparison over the same time.
        """
        return 1 - self.capped_canary_share

    @property
    def dwell_s(self) -> float:
        """Minimum seconds at one share, less in a short move so that it ends by its deadline."""
        return min(_MAX_DWELL_S, (self.deadline - self.started_at) * _DWELL_FRACTION)

    @property
    def watch_s(self) -> float:
        """Seconds to watch the version at the largest share, at most a quarter of the time."""
        return min(self.nominal_watch_s, (self.deadline - self.started_at) / 4)
