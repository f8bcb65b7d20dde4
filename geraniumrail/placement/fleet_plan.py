"""Number of backend servers per data centre, on-demand and reclaimable, that a service needs."""

import collections
import dataclasses
from collections.abc import Collection, Mapping

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
    reclaimable_price: float  # share of the on-demand price; 0: not offered
    price_by_data_centre: Mapping[str, float]


def fleet_plan(
    service: str,
    tokens_per_s: float,
    tokens_per_engine_s: float,
    on_demand_share: float,
    bounds: FleetBounds,
    now: float,
) -> dict[FleetKey, int]:
    """Returns the cheapest fleet that covers the demand after the loss of any data centre.

    :param service: name of the service.
    :param tokens_per_s: demand, in prompt and output tokens that the requests declare.
    :param tokens_per_engine_s: capacity of one engine within the latency target.
    :param on_demand_share: share of the demand that on-demand engines must cover.
    :param bounds: of the service.
    :param now: seconds.
    """
    offers = _offers(bounds)
    settings = PlacementSettings(
        tokens_per_s_by_class={ENGINE: tokens_per_engine_s},
        on_demand_share=on_demand_share,
    )
    demand = Demand(service=service, tokens_per_s=tokens_per_s)
    wanted = plan(demand, (), offers, settings, now, logged=False)
    counts = collections.Counter(
        (action.offer.data_centre, action.offer.reclaimable)
        for action in wanted.actions
        if action.offer is not None
    )
    return _apply_bounds(counts, bounds)


def _offers(bounds: FleetBounds) -> list[Offer]:
    offers = []
    for data_centre, price in sorted(bounds.price_by_data_centre.items()):
        offers.append(_offer(data_centre, price, reclaimable=False))
        if bounds.reclaimable_price > 0:
            offers.append(_offer(data_centre, price * bounds.reclaimable_price, reclaimable=True))
    return offers


def _apply_bounds(counts: Mapping[FleetKey, int], bounds: FleetBounds) -> dict[FleetKey, int]:
    """Applies the bounds of each data centre; reclaimable engines above one go to the others."""
    fleet: dict[FleetKey, int] = {}
    rest = 0
    for data_centre in bounds.price_by_data_centre:
        on_demand = min(bounds.most, counts.get((data_centre, False), 0))
        room = bounds.most - on_demand
        reclaimable = min(room, counts.get((data_centre, True), 0))
        rest += counts.get((data_centre, True), 0) - reclaimable
        fleet[data_centre, False] = on_demand
        fleet[data_centre, True] = reclaimable
    kind = bounds.reclaimable_price > 0
    for data_centre in _cheapest_first(bounds):
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


def next_fleet(
    planned: Mapping[FleetKey, int],
    serving: Mapping[FleetKey, int],
    refused: Collection[str],
    needed: int,
    bounds: FleetBounds,
) -> dict[FleetKey, int]:
    """Returns the next fleet to order in the transition to the planned one.

    On-demand engines substitute for missing reclaimable ones. Both count towards the `most` of a
    data centre, so on-demand ones are stopped as reclaimable ones begin to serve, which makes room
    for more of these; no engine that is needed is stopped before its replacement serves. New
    on-demand ones are ordered only where reclaimable ones are refused. Data centres are often
    reclaimed in succession, so while any refuses, the loss of another one is covered as well.

    :param planned: engines wanted, by data centre and kind.
    :param serving: engines that take work now.
    :param refused: data centres that refuse to start reclaimable engines.
    :param needed: engines that cover the demand.
    :param bounds: of the service.
    """
    reclaimable = {name: serving.get((name, True), 0) for name in bounds.price_by_data_centre}
    at_risk = max(reclaimable.values(), default=0) if refused else 0
    missing = max(0, needed - sum(reclaimable.values()) + at_risk)
    on_demand_by_centre = dict.fromkeys(bounds.price_by_data_centre, 0)
    for serving_only in (True, False):
        for name in _cheapest_first(bounds):
            room = bounds.most - reclaimable[name]
            if planned.get((name, True), 0):
                # One place stays free to order a reclaimable engine, even while these are refused;
                # once it serves, the on-demand ones are replaced.
                room = min(room, bounds.most - 1)
            if serving_only or name not in refused:
                room = min(room, serving.get((name, False), 0))
            added = max(0, min(missing, room - on_demand_by_centre[name]))
            on_demand_by_centre[name] += added
            missing -= added
    fleet: dict[FleetKey, int] = {}
    for name, substitutes in on_demand_by_centre.items():
        on_demand = max(substitutes, planned.get((name, False), 0))
        fleet[name, False] = on_demand
        fleet[name, True] = min(planned.get((name, True), 0), bounds.most - on_demand)
    return fleet


def _cheapest_first(bounds: FleetBounds) -> list[str]:
    prices = bounds.price_by_data_centre
    return sorted(prices, key=lambda name: prices[name])
