"""One change of the pool."""

import dataclasses

from geraniumrail.placement.offer import Offer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Action:
    """Start of an offer, stop of an instance, or both: a move stops after the start serves."""

    kind: str  # start | stop | move
    reason: str
    offer: Offer | None = None
    instance: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Actions in the order to carry them out; `missing_tokens_per_s` could not be covered."""

    actions: tuple[Action, ...] = ()
    missing_tokens_per_s: float = 0
