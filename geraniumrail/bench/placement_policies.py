"""Placement decisions that are compared: the planner and two baselines."""

import dataclasses
from collections.abc import Callable, Sequence

from geraniumrail.bench.market import SETTINGS, Moment
from geraniumrail.placement.action import Action
from geraniumrail.placement.demand import Demand
from geraniumrail.placement.instance import Instance
from geraniumrail.placement.offer import Offer
from geraniumrail.placement.placement_settings import PlacementSettings
from geraniumrail.placement.planner import plan

Policy = Callable[[Moment, Sequence[Instance], Sequence[Offer]], Sequence[Action]]


@dataclasses.dataclass(frozen=True)
class Planned:
    """Asks the planner."""

    settings: PlacementSettings

    def __call__(
        self, moment: Moment, instances: Sequence[Instance], offers: Sequence[Offer]
    ) -> Sequence[Action]:
        """Returns the actions of the plan.

        :param moment: the market.
        :param instances: present instances.
        :param offers: offers with refusals.
        """
        demand = Demand(service='model-bench', tokens_per_s=moment.demand)
        return plan(demand, instances, offers, self.settings, moment.now).actions


@dataclasses.dataclass(frozen=True)
class CheapestFirst:
    """Starts the cheapest offers until the demand is covered; stops what is spare."""

    headroom: float = 0  # capacity above the demand
    reclaimable: bool = True  # False: on-demand only

    def __call__(
        self, moment: Moment, instances: Sequence[Instance], offers: Sequence[Offer]
    ) -> Sequence[Action]:
        """Returns starts and stops.

        :param moment: the market.
        :param instances: present instances.
        :param offers: offers with refusals.
        """
        usable = [
            offer
            for offer in offers
            if moment.now >= offer.retry_at and (self.reclaimable or not offer.reclaimable)
        ]
        target = moment.demand * (1 + self.headroom)
        missing = target - sum(_capacity(one.machine_class) for one in instances)
        if missing > 0 and usable:
            cheapest = min(usable, key=_unit_price)
            count = -int(-missing // _capacity(cheapest.machine_class))
            start = Action(kind='start', reason='capacity', offer=cheapest)
            return [start for _ in range(count)]
        return self._stops(moment, instances, target)

    def _stops(
        self, moment: Moment, instances: Sequence[Instance], target: float
    ) -> Sequence[Action]:
        spare = sum(_capacity(one.machine_class) for one in instances)
        spare -= target * (1 + SETTINGS.spare_share)
        stops = []
        for instance in sorted(instances, key=lambda one: one.instance):
            is_settled = moment.now - instance.started_at >= SETTINGS.min_age_s
            if is_settled and _capacity(instance.machine_class) <= spare:
                spare -= _capacity(instance.machine_class)
                stops.append(Action(kind='stop', reason='spare', instance=instance.instance))
        return stops


def _capacity(machine_class: str) -> float:
    return SETTINGS.tokens_per_s_by_class[machine_class]


def _unit_price(offer: Offer) -> float:
    return offer.price_per_hour / _capacity(offer.machine_class)
