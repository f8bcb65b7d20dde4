"""Refuses requests early if they could not be answered in time."""

import math

from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.dispatch_rate import DispatchRate
from geraniumrail.fairness.fair_queue import FairQueue
from geraniumrail.fairness.queue_item import PROMOTE_SHARE, QueueItem
from geraniumrail.fairness.traffic_classes import rule_of

DEPTH_LIMIT_ITEMS = 2000
MAX_RETRY_AFTER_S = 60


class Shedder:
    """Checks the queue depth and the expected wait against the limits of the class."""

    def __init__(self, depth_limit: int = DEPTH_LIMIT_ITEMS) -> None:
        """Starts without a measured dispatch rate.

        :param depth_limit: waiting items at which chat is shed; other classes are shed earlier.
        """
        self._depth_limit = depth_limit
        self.dispatch_rate = DispatchRate()

    def check(self, item: QueueItem, queue: FairQueue) -> None:
        """Refuses an item that would wait too long.

        :param item: about to be pushed.
        :param queue: the queue that it would be pushed to.
        :raises OverloadedError: with the time after which the wait is probably short enough.
        """
        rule = rule_of(item.traffic_class)
        wait_s = self.dispatch_rate.wait_s(queue.tokens_ahead(item))
        max_wait_s = (
            rule.max_wait_s
            if item.completion_bound_s is None
            else PROMOTE_SHARE * item.completion_bound_s
        )
        if wait_s > max_wait_s:
            raise OverloadedError(
                reason='expected wait', retry_after_s=_retry_after_s(wait_s - max_wait_s)
            )
        if queue.depth() >= rule.depth_share * self._depth_limit:
            raise OverloadedError(reason='queue depth', retry_after_s=_retry_after_s(wait_s))


def _retry_after_s(wait_s: float) -> int:
    return min(MAX_RETRY_AFTER_S, max(1, math.ceil(wait_s)))
