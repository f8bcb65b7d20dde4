"""Refuses requests early when they could not be answered in time."""

import math

from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.dispatch_rate import DispatchRate
from geraniumrail.fairness.fair_queue import FairQueue
from geraniumrail.fairness.queue_item import PROMOTE_SHARE, QueueItem
from geraniumrail.fairness.traffic_classes import rule_of

DEPTH_LIMIT = 2000
MAX_RETRY_S = 60


class Shedder:
    """Checks queue depth and the expected wait against what the class tolerates."""

    def __init__(self, depth_limit: int = DEPTH_LIMIT) -> None:
        """Starts without a measured rate.

        :param depth_limit: waiting items at which chat is refused; other classes sooner.
        """
        self._depth_limit = depth_limit
        self.rate = DispatchRate()

    def check(self, item: QueueItem, queue: FairQueue) -> None:
        """Refuses an item that would wait too long.

        :param item: about to be pushed.
        :param queue: the queue that it would join.
        :raises OverloadedError: with the time after which the queue has probably drained.
        """
        rule = rule_of(item.traffic_class)
        wait_s = self.rate.wait_s(queue.tokens_ahead(item))
        patience_s = rule.patience_s if item.bound_s is None else PROMOTE_SHARE * item.bound_s
        if wait_s > patience_s:
            raise OverloadedError(reason='expected wait', retry_after_s=_retry(wait_s - patience_s))
        if queue.depth() >= rule.depth_share * self._depth_limit:
            raise OverloadedError(reason='queue depth', retry_after_s=_retry(wait_s))


def _retry(wait_s: float) -> int:
    return min(MAX_RETRY_S, max(1, math.ceil(wait_s)))
