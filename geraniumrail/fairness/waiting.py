"""An item in the queue."""

import dataclasses

from geraniumrail.fairness.classes import rule_of
from geraniumrail.fairness.queue_item import QueueItem


@dataclasses.dataclass(frozen=True)
class Waiting:
    """An item and the time from which its completion bound is near."""

    item: QueueItem
    promote_at: float | None

    def promoted(self, now: float) -> bool:
        """Tells whether the completion bound is near.

        :param now: monotonic seconds.
        """
        return self.promote_at is not None and now >= self.promote_at

    def handicap(self, now: float) -> float:
        """Returns how far the item stands behind chat, in tokens for a weight of 1.

        :param now: monotonic seconds.
        """
        return 0 if self.promoted(now) else rule_of(self.item.traffic_class).handicap_tokens
