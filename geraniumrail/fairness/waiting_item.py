"""An item in the queue with its time of promotion."""

import dataclasses
import math

from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.traffic_classes import rule_of


@dataclasses.dataclass(frozen=True)
class WaitingItem:
    """An item that loses the tag offset of its class at a fixed time."""

    item: QueueItem
    promote_at: float

    def is_promoted(self, now: float) -> bool:
        """Returns whether the item has lost its tag offset.

        :param now: monotonic seconds.
        """
        return now >= self.promote_at

    def tie_breaker(self) -> float:
        """Returns the order among items of an organisation that have the same tag.

        An item with a completion bound goes before the others, which go in order of promotion.
        """
        return self.promote_at if self.item.completion_bound_s is None else -math.inf

    def tag_offset_tokens(self, now: float) -> float:
        """Returns what is added to the tag of the organisation, in tokens for a weight of 1.

        :param now: monotonic seconds.
        """
        return 0 if self.is_promoted(now) else rule_of(self.item.traffic_class).tag_offset_tokens
