"""Parameters of placement."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementSettings:
    """Capacity of machine classes at the latency target, and limits on changes."""

    tokens_per_s_by_class: Mapping[str, float]  # per instance, within the latency target
    on_demand_share: float = 0.2  # of the demand
    boot_s: float = 60
    weights_bytes: float = 16e9
    store_bytes_per_s: float = 1e9  # shared by all loads that run at once
    recomputed_tokens: float = 20_000  # per reclaimed instance, after recovery
    horizon_s: float = 3600  # prices are expected to hold this long
    spare_share: float = 0.1  # capacity above the target before an instance is stopped
    min_saving_share: float = 0.1  # of the cost; moves that save less are not made
    max_moves: int = 3  # instances at a time; each loads weights and starts with an empty cache
    min_age_s: float = 600  # before an instance is stopped or moved

    def startup_s(self, loading: int) -> float:
        """Returns the seconds from the start request until an instance serves.

        :param loading: other instances that load weights at the same time.
        """
        return self.boot_s + (1 + loading) * self.weights_bytes / self.store_bytes_per_s
