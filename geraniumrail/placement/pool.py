"""Capacity of a pool by data centre, and the capacity missing from the target."""

import dataclasses
from collections import Counter

from geraniumrail.placement.demand import Demand
from geraniumrail.placement.placement_settings import PlacementSettings

_OfferKey = tuple[str, str, bool]


@dataclasses.dataclass
class Pool:
    """Counts capacity while a plan is made."""

    settings: PlacementSettings
    target: float  # tokens per second that must remain after the loss of any data centre
    on_demand_target: float
    data_centres: tuple[str, ...]
    capacity: Counter[str] = dataclasses.field(default_factory=Counter)  # by data centre
    on_demand: float = 0

    @classmethod
    def from_demand(
        cls, demand: Demand, settings: PlacementSettings, data_centres: tuple[str, ...]
    ) -> 'Pool':
        """Creates an empty pool.

        :param demand: what the service needs.
        :param settings: capacity of classes and shares.
        :param data_centres: all that have offers or instances.
        """
        share = settings.on_demand_share
        return cls(settings, demand.tokens_per_s, demand.tokens_per_s * share, data_centres)

    def copy(self) -> 'Pool':
        """Returns a pool that can be changed without changing this one."""
        return dataclasses.replace(self, capacity=Counter(self.capacity))

    def copy_from(self, other: 'Pool') -> None:
        """Replaces the capacity by that of another pool.

        :param other: a changed copy of this pool.
        """
        self.capacity = other.capacity
        self.on_demand = other.on_demand

    def add(self, key: _OfferKey, sign: int = 1) -> None:
        """Adds an instance, or removes one with sign -1.

        :param key: `Offer.key`.
        :param sign: 1 or -1.
        """
        machine_class, data_centre, reclaimable = key
        capacity = sign * self.settings.tokens_per_s_by_class[machine_class]
        self.capacity[data_centre] += capacity
        self.on_demand += 0 if reclaimable else capacity

    def missing(self) -> float:
        """Returns what is missing, summed over the losses of each data centre and on-demand."""
        after_losses = sum(self._missing_without(lost) for lost in self._losses())
        return after_losses + max(0, self.on_demand_target - self.on_demand)

    def missing_with(self, key: _OfferKey, sign: int = 1) -> float:
        """Returns `missing` after a change.

        :param key: `Offer.key`.
        :param sign: 1 or -1.
        """
        self.add(key, sign)
        missing = self.missing()
        self.add(key, -sign)
        return missing

    def worst_missing(self) -> float:
        """Returns the tokens per second that are missing after the worst loss."""
        return max(self._missing_without(lost) for lost in self._losses())

    def _losses(self) -> tuple[str, ...]:
        # With a single data centre its loss cannot be covered; the demand itself still is.
        return self.data_centres if len(self.data_centres) > 1 else ('',)

    def _missing_without(self, lost: str) -> float:
        left = sum(capacity for name, capacity in self.capacity.items() if name != lost)
        return max(0, self.target - left)
