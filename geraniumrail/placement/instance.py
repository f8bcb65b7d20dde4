"""An instance that runs or starts."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """One instance of the pool of a service; leaving instances are not listed."""

    instance: str
    machine_class: str
    data_centre: str
    reclaimable: bool
    started_at: float
    serving: bool = True  # False while it starts or loads weights

    @property
    def offer_key(self) -> tuple[str, str, bool]:
        """Returns the key of the offer it was started from."""
        return (self.machine_class, self.data_centre, self.reclaimable)
