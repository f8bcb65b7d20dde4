"""An item in the queue."""

import dataclasses
import math

from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.traffic_classes import rule_of


@dataclasses.dataclass(frozen=True)
class WaitingItem:
    """An item and the time from which its completion bound is near."""

    item: QueueItem
    promote_at: float

    def promoted(self, now: float) -> bool:
        """Tells whether the completion bound is near.

        :param now: monotonic seconds.
        """
        return now >= self.promote_at

    def due(self) -> float:
        """Returns the order among items of an organisation at the same position.

        With a bound it goes before the organisation's own chat; else it takes its turn with chat.
        """
        return self.promote_at if self.item.bound_s is None else -math.inf

    def handicap(self, now: float) -> float:
        """Returns how far the item stands behind chat, in tokens for a weight of 1.

        :param now: monotonic seconds.
        """
        return 0 if self.promoted(now) else rule_of(self.item.traffic_class).handicap_tokens
