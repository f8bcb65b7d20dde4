"""Queue state of one organisation."""

import collections
from collections.abc import Collection

from geraniumrail.fairness.queue_item import PROMOTE_SHARE, QueueItem
from geraniumrail.fairness.traffic_classes import rule_of
from geraniumrail.fairness.waiting_item import WaitingItem

Position = tuple[float, bool, float]  # in tokens, not resumed, order within the organisation


class OrganisationQueue:
    """Waiting items by class, and the virtual time at which the next one starts."""

    def __init__(self, virtual: float) -> None:
        """Starts without items.

        :param virtual: virtual time now, in tokens for a weight of 1.
        """
        self.tag = virtual
        self.in_flight = 0
        self.depth = 0
        self.weight: float = 1  # of the newest item
        # Resumed items have queues of their own.
        self._waiting_by_class: dict[
            tuple[str, bool], collections.OrderedDict[str, WaitingItem]
        ] = {}
        self._tokens_by_class: collections.Counter[str] = collections.Counter()

    def add(self, item: QueueItem, now: float) -> None:
        """Appends an item.

        :param item: not in the queue yet.
        :param now: monotonic seconds.
        """
        if item.bound_s is None:
            promote_at = now + rule_of(item.traffic_class).promote_s
        else:
            promote_at = now + PROMOTE_SHARE * item.bound_s
        key = (item.traffic_class, item.resumed)
        waiting = self._waiting_by_class.setdefault(key, collections.OrderedDict())
        waiting[item.item_id] = WaitingItem(item, promote_at)
        self.depth += 1
        self.weight = item.weight
        self._tokens_by_class[item.traffic_class] += item.share_tokens

    def discard(self, item: QueueItem) -> None:
        """Removes a waiting item.

        :param item: in this account's queue.
        """
        self._waiting_by_class[item.traffic_class, item.resumed].pop(item.item_id)
        self.depth -= 1
        self._tokens_by_class[item.traffic_class] -= item.share_tokens

    def heads(
        self,
        floor: float,
        now: float,
        classes: Collection[str] | None = None,
    ) -> list[tuple[Position, QueueItem]]:
        """Returns the first item of each class and its position; the lowest position goes first.

        :param floor: lowest tag of all organisations; resumed items stand there.
        :param now: monotonic seconds.
        :param classes: classes that may go; None for all.
        """
        firsts = (
            next(iter(waiting.values()))
            for (name, _), waiting in self._waiting_by_class.items()
            if waiting and (classes is None or name in classes)
        )
        return [(self._position(first, floor, now), first.item) for first in firsts]

    def _position(self, waiting: WaitingItem, floor: float, now: float) -> Position:
        resumed = waiting.item.resumed
        tag = floor if resumed else self.tag
        return tag + waiting.handicap(now), not resumed, waiting.due()

    def backlog(self, traffic_class: str) -> float:
        """Returns the waiting tokens, for a weight of 1, of this class and those before it.

        :param traffic_class: chat, quick or review.
        """
        limit = rule_of(traffic_class).handicap_tokens
        return sum(
            tokens
            for name, tokens in self._tokens_by_class.items()
            if rule_of(name).handicap_tokens <= limit
        )
