"""Start-time fair queueing of requests by organisation, in tokens."""

import itertools
import math
from collections.abc import Collection

from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.organisation_queue import OrganisationQueue
from geraniumrail.fairness.queue_item import QueueItem

# Most tokens, for a weight of 1, by which the tag of an idle organisation lags the virtual time.
IDLE_CREDIT_TOKENS = 8000
# Items whose tag lags the virtual time by this much may use the reserve of the engine windows.
RESERVE_LAG_TOKENS = 500
QUEUE_LIMIT_RETRY_AFTER_S = 2


class FairQueue:
    """Shares the engines between organisations by weight; one for each engine service.

    Each organisation has a tag, the tokens charged to it divided by its weight. The virtual time is
    the highest tag that an organisation had at a dispatch. The item with the lowest sum of this tag
    and the offset of its class is dispatched first, so a class can get ahead only by that offset.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._virtual_time: float = 0
        self._queues_by_organisation: dict[str, OrganisationQueue] = {}
        self._items_by_id: dict[str, QueueItem] = {}
        self._dispatched_by_id: dict[str, QueueItem] = {}

    def push(self, item: QueueItem, now: float) -> None:
        """Adds an item.

        :param item: not in the queue yet.
        :param now: monotonic seconds.
        :raises OverloadedError: if the organisation has too many waiting items and the item is
            not resumed.
        """
        queue = self._queues_by_organisation.get(item.organisation)
        if queue is None:
            queue = OrganisationQueue(self._virtual_time - IDLE_CREDIT_TOKENS)
            self._queues_by_organisation[item.organisation] = queue
        if queue.depth >= item.queue_limit and not item.resumed:
            raise OverloadedError(reason='queue limit', retry_after_s=QUEUE_LIMIT_RETRY_AFTER_S)
        if not queue.depth:
            queue.tag = max(queue.tag, self._virtual_time - IDLE_CREDIT_TOKENS)
        queue.add(item, now)
        self._items_by_id[item.item_id] = item

    def peek(
        self,
        now: float,
        classes: Collection[str] | None = None,
        *,
        reserve_only: bool = False,
    ) -> QueueItem | None:
        """Returns the item that `pop` with the same arguments would return.

        :param now: monotonic seconds.
        :param classes: classes for which an engine has room; None for all.
        :param reserve_only: as for `heads`.
        """
        heads = self.heads(now, classes, reserve_only=reserve_only)
        return heads[0] if heads else None

    def pop(
        self,
        now: float,
        classes: Collection[str] | None = None,
        *,
        reserve_only: bool = False,
    ) -> QueueItem | None:
        """Removes and charges the item to dispatch next, or returns None if there is none.

        :param now: monotonic seconds.
        :param classes: classes for which an engine has room; None for all.
        :param reserve_only: as for `heads`.
        """
        heads = self.heads(now, classes, reserve_only=reserve_only)
        return self.dispatch(heads[0]) if heads else None

    def heads(
        self,
        now: float,
        classes: Collection[str] | None = None,
        *,
        reserve_only: bool = False,
    ) -> list[QueueItem]:
        """Returns the first item of each organisation and class, in the order of dispatch.

        :param now: monotonic seconds.
        :param classes: classes for which an engine has room; None for all.
        :param reserve_only: only resumed items and those whose tag lags by `RESERVE_LAG_TOKENS`.
        """
        limit = self._virtual_time - RESERVE_LAG_TOKENS if reserve_only else math.inf
        waiting = [each for each in self._queues_by_organisation.values() if each.depth]
        floor = min((queue.tag for queue in waiting), default=0)
        heads = itertools.chain.from_iterable(queue.heads(floor, now, classes) for queue in waiting)
        allowed = (head for head in heads if head[0][0] <= limit or head[1].resumed)
        return [item for _, item in sorted(allowed, key=lambda head: head[0])]

    def dispatch(self, item: QueueItem) -> QueueItem:
        """Removes and charges a waiting item.

        :param item: in the queue.
        """
        self._items_by_id.pop(item.item_id)
        queue = self._queues_by_organisation[item.organisation]
        queue.discard(item)
        self._virtual_time = max(self._virtual_time, queue.tag)
        queue.tag += item.weighted_tokens
        queue.in_flight += 1
        self._dispatched_by_id[item.item_id] = item
        return item

    def finish(self, item_id: str, tokens: float, now: float) -> None:
        """Corrects the charge of a dispatched item when it ends; a second call does nothing.

        :param item_id: id of the item.
        :param tokens: prompt and answer tokens that it used.
        :param now: monotonic seconds.
        """
        item = self._dispatched_by_id.pop(item_id, None)
        if item is None:
            return
        queue = self._queues_by_organisation[item.organisation]
        queue.tag += tokens / item.weight - item.weighted_tokens
        queue.in_flight -= 1
        self._discard_idle(item.organisation, queue)

    def remove(self, item_id: str) -> bool:
        """Removes a waiting item whose caller is gone; returns whether it was waiting.

        :param item_id: id of the item.
        """
        item = self._items_by_id.pop(item_id, None)
        if item is None:
            return False
        queue = self._queues_by_organisation[item.organisation]
        queue.discard(item)
        self._discard_idle(item.organisation, queue)
        return True

    def depth(self, organisation: str | None = None) -> int:
        """Returns the number of waiting items.

        :param organisation: name; None counts the items of all.
        """
        if organisation is None:
            return len(self._items_by_id)
        queue = self._queues_by_organisation.get(organisation)
        return queue.depth if queue else 0

    def tokens_ahead(self, item: QueueItem) -> float:
        """Estimates how many tokens are dispatched before the item if it is pushed now.

        Of another organisation these are at most its backlog, and at most the tokens that bring its
        tag to that of the item.

        :param item: not in the queue.
        """
        own = self._queues_by_organisation.get(item.organisation)
        tag = max(own.tag, self._virtual_time - IDLE_CREDIT_TOKENS) if own else self._virtual_time
        own_backlog = own.backlog(item.traffic_class) if own else 0
        start = tag + own_backlog
        others = sum(
            queue.weight * min(queue.backlog('review'), max(0, start - queue.tag))
            for queue in self._queues_by_organisation.values()
            if queue is not own
        )
        return own_backlog * item.weight + others

    def _discard_idle(self, organisation: str, queue: OrganisationQueue) -> None:
        # Keeps the tag of an organisation that used more than its share until the others catch up.
        idle = not queue.depth and not queue.in_flight
        if idle and queue.tag <= self._virtual_time - IDLE_CREDIT_TOKENS:
            del self._queues_by_organisation[organisation]
