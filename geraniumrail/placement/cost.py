"""Cost of answered tokens."""

from geraniumrail.placement.offer import Offer
from geraniumrail.placement.placement_settings import PlacementSettings

_HOUR_S = 3600


def per_token(offer: Offer, settings: PlacementSettings, loading: int = 0) -> float:
    """Returns the price of one token answered within the latency target.

    After a reclaim, the replacement is paid while it boots and loads weights, and the tokens of
    streams that could not be saved are computed again.

    :param offer: the offer.
    :param settings: capacity and start-up times.
    :param loading: instances that load weights at the same time.
    """
    rate = offer.reclaims_per_hour if offer.reclaimable else 0
    startup_hours = settings.startup_s(loading) / _HOUR_S
    serving_share = 1 / (1 + rate * startup_hours)
    capacity = settings.tokens_per_s_by_class[offer.machine_class] * _HOUR_S
    useful = capacity * serving_share - rate * settings.recomputed_tokens
    return offer.price_per_hour / useful if useful > 0 else float('inf')


def per_hour(offer: Offer, settings: PlacementSettings, loading: int = 0) -> float:
    """Returns the price of an hour of full capacity, with the cost of reclaims.

    :param offer: the offer.
    :param settings: capacity and start-up times.
    :param loading: instances that load weights at the same time.
    """
    capacity = settings.tokens_per_s_by_class[offer.machine_class]
    return per_token(offer, settings, loading) * capacity * _HOUR_S
