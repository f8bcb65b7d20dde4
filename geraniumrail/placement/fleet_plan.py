"""How many backend servers a service should have in each data centre, by kind."""

import collections
import dataclasses
from collections.abc import Mapping

from geraniumrail.placement.demand import Demand
from geraniumrail.placement.offer import Offer
from geraniumrail.placement.placement_settings import PlacementSettings
from geraniumrail.placement.planner import plan

FleetKey = tuple[str, bool]  # data centre, reclaimable
ENGINE = 'engine'


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetBounds:
    """Bounds and prices of one service."""

    least: int  # in each data centre, of both kinds together
    most: int
    reclaimable_price: float  # part of the price of an on-demand one; 0: not offered
    price_by_data_centre: Mapping[str, float]


def fleet_plan(
    service: str,
    tokens_per_s: float,
    tokens_per_engine_s: float,
    on_demand_share: float,
    bounds: FleetBounds,
    now: float,
) -> dict[FleetKey, int]:
    """Returns the cheapest fleet that holds the demand after the loss of any data centre.

    :param service: name of the service.
    :param tokens_per_s: demand, in prompt and output tokens that the requests name.
    :param tokens_per_engine_s: what one engine answers within the latency target.
    :param on_demand_share: part of the demand that reclaimable engines may not carry.
    :param bounds: of the service.
    :param now: seconds.
    """
    offers = _offers(bounds)
    settings = PlacementSettings(
        tokens_per_s_by_class={ENGINE: tokens_per_engine_s},
        on_demand_share=on_demand_share,
    )
    wanted = plan(Demand(service=service, tokens_per_s=tokens_per_s), (), offers, settings, now)
    counts = collections.Counter(
        (action.offer.data_centre, action.offer.reclaimable)
        for action in wanted.actions
        if action.offer is not None
    )
    return _within(counts, bounds)


def _offers(bounds: FleetBounds) -> list[Offer]:
    offers = []
    for data_centre, price in sorted(bounds.price_by_data_centre.items()):
        offers.append(_offer(data_centre, price, reclaimable=False))
        if bounds.reclaimable_price > 0:
            offers.append(_offer(data_centre, price * bounds.reclaimable_price, reclaimable=True))
    return offers


def _within(counts: Mapping[FleetKey, int], bounds: FleetBounds) -> dict[FleetKey, int]:
    """Applies the bounds of each data centre; what exceeds one goes to the others."""
    fleet: dict[FleetKey, int] = {}
    rest = 0
    for data_centre in bounds.price_by_data_centre:
        on_demand = min(bounds.most, counts.get((data_centre, False), 0))
        room = bounds.most - on_demand
        reclaimable = min(room, counts.get((data_centre, True), 0))
        rest += counts.get((data_centre, True), 0) - reclaimable
        fleet[data_centre, False] = on_demand
        fleet[data_centre, True] = reclaimable
    cheapest_first = sorted(
        bounds.price_by_data_centre, key=lambda name: bounds.price_by_data_centre[name]
    )
    kind = bounds.reclaimable_price > 0
    for data_centre in cheapest_first:
        used = fleet[data_centre, False] + fleet[data_centre, True]
        added = min(rest, bounds.most - used)
        rest -= added
        missing = max(0, bounds.least - used - added)
        fleet[data_centre, kind] += added + missing
    return fleet


def _offer(data_centre: str, price: float, *, reclaimable: bool) -> Offer:
    return Offer(
        machine_class=ENGINE,
        data_centre=data_centre,
        price_per_hour=price,
        reclaimable=reclaimable,
    )


def stopgap(
    serving: Mapping[FleetKey, int],
    needed: int,
    most: int,
    price_by_data_centre: Mapping[str, float],
) -> collections.Counter[str]:
    """Returns the on-demand engines for each data centre while reclaimable ones are missing.

    Those that serve already are kept before others are started.

    :param serving: engines that take work now.
    :param needed: engines that hold the demand.
    :param most: engines of both kinds in one data centre.
    :param price_by_data_centre: price of an on-demand engine.
    """
    reclaimable = sum(count for (_, kind), count in serving.items() if kind)
    missing = max(0, needed - reclaimable)
    chosen: collections.Counter[str] = collections.Counter()
    cheapest_first = sorted(price_by_data_centre, key=lambda name: price_by_data_centre[name])
    room = {name: most - serving.get((name, True), 0) for name in cheapest_first}
    for keeps in (True, False):
        for name in cheapest_first:
            limit = serving.get((name, False), 0) if keeps else room[name]
            added = max(0, min(missing, limit - chosen[name], room[name] - chosen[name]))
            chosen[name] += added
            missing -= added
    return chosen
