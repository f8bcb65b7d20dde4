"""Decides which instances to start, stop and move."""

import dataclasses
from collections.abc import Iterable, Sequence

from geraniumrail.core import events as core_events
from geraniumrail.placement import cost, events
from geraniumrail.placement.action import Action, Plan
from geraniumrail.placement.demand import Demand
from geraniumrail.placement.instance import Instance
from geraniumrail.placement.offer import Offer
from geraniumrail.placement.placement_settings import PlacementSettings
from geraniumrail.placement.pool import Pool

_MAX_STARTS = 1000
_MAX_SWAP_STARTS = 50  # up to which swaps are tried; the larger the pool, the less a swap saves
_HOUR_S = 3600
_MIN_RECLAIMS_PER_HOUR = 1e-6  # avoids a division by zero
_LOGGED_ALTERNATIVES = 3


def plan(
    demand: Demand,
    instances: Sequence[Instance],
    offers: Iterable[Offer],
    settings: PlacementSettings,
    now: float,
    *,
    logged: bool = True,
) -> Plan:
    """Returns the changes that reach the target at the least cost per answered token.

    :param demand: what the service needs.
    :param instances: instances that run or start, without those under reclaim notice.
    :param offers: offers with current prices and refusals.
    :param settings: capacity, shares and times.
    :param now: seconds.
    :param logged: whether to log each action.
    """
    offers_by_key = {offer.key: offer for offer in offers}
    usable = [offer for offer in offers_by_key.values() if now >= offer.retry_at]
    data_centres = {offer.data_centre for offer in offers_by_key.values()}
    data_centres.update(one.data_centre for one in instances)
    pool = Pool.from_demand(demand, settings, tuple(sorted(data_centres)))
    for running in instances:
        pool.add(running.offer_key)
    loading = sum(not one.serving for one in instances)
    actions = _starts(pool, usable, loading)
    missing = pool.worst_missing()
    if not actions and not loading:
        settled = [one for one in instances if now - one.started_at >= settings.min_age_s]
        actions = _stops(pool, settled, offers_by_key)
        actions = actions or _moves(pool, settled, offers_by_key, usable)
    for action in actions if logged else ():
        _log(action, demand, settings, usable)
    if missing > 0:
        core_events.log(
            events.TARGET_UNREACHABLE,
            service=demand.service,
            missing_tokens_per_s=round(missing, 1),
            usable_offers=len(usable),
        )
    return Plan(actions=tuple(actions), missing_tokens_per_s=missing)


def _starts(pool: Pool, usable: list[Offer], loading: int) -> list[Action]:
    """Returns the cheapest complete set of starts, trying several capacity limits per data centre.

    Without a limit the cheapest data centre is filled first, and the others then have to cover
    the whole target; with capacity spread evenly, less of it is lost at once.
    """
    centres = len(pool.data_centres)
    limits = [pool.target / parts for parts in range(1, centres)] + [float('inf')]
    found = [_starts_within(pool.copy(), usable, loading, limit) for limit in limits]
    chosen = min(found, key=lambda one: (one[0].missing(), _total_price(one[1], pool, loading)))
    pool.copy_from(chosen[0])
    return chosen[1]


def _starts_within(
    pool: Pool, usable: list[Offer], loading: int, limit: float
) -> tuple[Pool, list[Action]]:
    """Adds the offer with the lowest cost per token of missing capacity until none is missing.

    The sum over the losses of all data centres is reduced, because a single start rarely improves
    the worst case alone.
    """
    actions: list[Action] = []
    missing = pool.missing()
    while missing > 0 and len(actions) < _MAX_STARTS:
        gains = [
            (cost.per_hour(offer, pool.settings, loading + len(actions)) / gain, offer.key, offer)
            for offer in usable
            if (pool.capacity[offer.data_centre] < limit or not pool.worst_missing())
            and (gain := missing - pool.missing_with(offer.key)) > 0
        ]
        if not gains:
            break
        _, key, offer = min(gains, key=lambda gain: gain[:2])
        reason = 'capacity_after_loss' if pool.worst_missing() else 'on_demand_share'
        pool.add(key)
        missing = pool.missing()
        actions.append(Action(kind='start', reason=reason, offer=offer))
    return pool, _replace_by_cheaper(pool, _drop_redundant(pool, actions), usable)


def _drop_redundant(pool: Pool, actions: list[Action]) -> list[Action]:
    """Drops starts made redundant by later, larger ones, the most expensive first."""
    kept = list(actions)
    for action in sorted(actions, key=lambda one: -one.offer.price_per_hour):
        if pool.missing_with(action.offer.key, -1) <= pool.missing():
            pool.add(action.offer.key, -1)
            kept.remove(action)
    return kept


def _replace_by_cheaper(pool: Pool, actions: list[Action], usable: list[Offer]) -> list[Action]:
    """Replaces starts by cheaper ones that cover as much of the target."""
    if len(actions) > _MAX_SWAP_STARTS:
        return actions
    by_price = sorted(usable, key=lambda offer: (cost.per_hour(offer, pool.settings, 0), offer.key))
    swapped = []
    for action in actions:
        missing = pool.missing()
        pool.add(action.offer.key, -1)
        present = by_price.index(action.offer)
        covering = [
            offer for offer in by_price[:present] if pool.missing_with(offer.key) <= missing
        ]
        chosen = covering[0] if covering else action.offer
        pool.add(chosen.key)
        swapped.append(dataclasses.replace(action, offer=chosen))
    return swapped


def _total_price(actions: list[Action], pool: Pool, loading: int) -> float:
    return sum(
        cost.per_hour(action.offer, pool.settings, loading + len(actions)) for action in actions
    )


def _stops(
    pool: Pool,
    settled: list[Instance],
    offers_by_key: dict[tuple[str, str, bool], Offer],
) -> list[Action]:
    """Stops instances not needed for the target and spare capacity, the most expensive first."""
    actions = []
    target = pool.target
    pool.target = target * (1 + pool.settings.spare_share)
    by_price = sorted(
        settled,
        key=lambda one: (-_unit_cost(one, pool, offers_by_key), one.instance),
    )
    for instance in by_price:
        if pool.missing_with(instance.offer_key, -1) <= 0:
            pool.add(instance.offer_key, -1)
            actions.append(Action(kind='stop', reason='spare', instance=instance.instance))
    pool.target = target
    return actions


def _moves(
    pool: Pool,
    settled: list[Instance],
    offers_by_key: dict[tuple[str, str, bool], Offer],
    usable: list[Offer],
) -> list[Action]:
    """Replaces one instance, or those of one data centre, if that saves more than it costs.

    Without spare capacity, moving a single instance to another data centre can break the target
    after a loss, so moving all instances of a data centre is considered as well.
    """
    priced = [one for one in settled if one.offer_key in offers_by_key]
    singles = {one.offer_key: one for one in priced}
    groups = [[one] for one in singles.values()] + [
        [one for one in priced if one.data_centre == centre] for centre in pool.data_centres
    ]
    best: tuple[float, list[Action]] = (0, [])
    for group in groups:
        if 0 < len(group) <= pool.settings.max_moves:
            present = [offers_by_key[one.offer_key] for one in group]
            others = [offer for offer in usable if offer not in present]
            if not _may_save_enough(present, others, pool.settings):
                continue
            starts = _replacements(pool.copy(), present, others)
            saving = _saving(present, [one.offer for one in starts], pool.settings)
            if len(starts) >= len(group) and saving > best[0]:
                reason = f'saves {saving:.3f}'
                best = (saving, _pair(starts, group, reason))
    return best[1]


def _may_save_enough(
    present: list[Offer], others: list[Offer], settings: PlacementSettings
) -> bool:
    """Returns whether the cheapest offer, once for each instance, would save enough."""
    before = sum(cost.per_hour(offer, settings) for offer in present)
    least = min((cost.per_hour(offer, settings) for offer in others), default=float('inf'))
    return before * (1 - settings.min_saving_share) > least * len(present)


def _replacements(pool: Pool, present: list[Offer], others: list[Offer]) -> list[Action]:
    """Returns starts that cover the loss of the present instances, or none if these cannot."""
    before = pool.missing()
    for offer in present:
        pool.add(offer.key, -1)
    starts = _starts(pool, others, 0)
    return [] if pool.missing() > before else starts


def _pair(starts: list[Action], group: list[Instance], reason: str) -> list[Action]:
    moves = [
        dataclasses.replace(start, kind='move', reason=reason, instance=instance.instance)
        for start, instance in zip(starts, group, strict=False)
    ]
    further = starts[len(group) :]
    return [dataclasses.replace(start, reason=reason) for start in further] + moves


def _saving(present: list[Offer], others: list[Offer], settings: PlacementSettings) -> float:
    """Returns the saving until the horizon, less the cost of the move and the minimum saving."""
    rates = [offer.reclaims_per_hour for offer in others if offer.reclaimable]
    lifetime_h = min(settings.horizon_s / _HOUR_S, 1 / max([*rates, _MIN_RECLAIMS_PER_HOUR]))
    before = sum(cost.per_hour(offer, settings) for offer in present)
    after = sum(cost.per_hour(offer, settings) for offer in others)
    # Both sets are paid while the replacements start, and prefixes are computed again.
    startup_h = settings.startup_s(len(others) - 1) / _HOUR_S
    move = sum(offer.price_per_hour for offer in others) * startup_h
    move += sum(settings.recomputed_tokens * cost.per_token(offer, settings) for offer in present)
    return (before * (1 - settings.min_saving_share) - after) * lifetime_h - move


def _unit_cost(
    instance: Instance, pool: Pool, offers_by_key: dict[tuple[str, str, bool], Offer]
) -> float:
    offer = offers_by_key.get(instance.offer_key)
    return float('inf') if offer is None else cost.per_token(offer, pool.settings)


def _log(action: Action, demand: Demand, settings: PlacementSettings, usable: list[Offer]) -> None:
    units = {offer.key: cost.per_token(offer, settings) for offer in usable}
    chosen = action.offer.key if action.offer else None
    others = sorted((unit, key) for key, unit in units.items() if key != chosen)
    core_events.log(
        events.PLACEMENT_DECIDED,
        service=demand.service,
        action=action.kind,
        reason=action.reason,
        instance=action.instance,
        offer=chosen,
        cost_per_million=round(units.get(chosen, 0) * 1e6, 3),
        alternatives=[[*key, round(unit * 1e6, 3)] for unit, key in others[:_LOGGED_ALTERNATIVES]],
    )
