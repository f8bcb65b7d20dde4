"""One change of the pool."""

import dataclasses

from geraniumrail.placement.offer import Offer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Action:
    """A start from an offer, a stop of an instance, or a move: a stop once the start serves."""

    kind: str  # start | stop | move
    reason: str
    offer: Offer | None = None
    instance: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Actions in the order of execution; `missing_tokens_per_s` could not be covered."""

    actions: tuple[Action, ...] = ()
    missing_tokens_per_s: float = 0
