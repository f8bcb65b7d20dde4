"""What the cloud offers."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """A machine class in a data centre, on demand or reclaimable."""

    machine_class: str
    data_centre: str
    price_per_hour: float
    reclaimable: bool
    reclaims_per_hour: float = 0  # for one instance
    refusals: int = 0  # starts refused in a row
    retry_at: float = 0  # earliest next start, seconds

    @property
    def key(self) -> tuple[str, str, bool]:
        """Identifies the offer while its price and refusals change."""
        return (self.machine_class, self.data_centre, self.reclaimable)
