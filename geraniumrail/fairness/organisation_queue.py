"""Queue state of one organisation."""

import collections
from collections.abc import Collection

from geraniumrail.fairness.queue_item import PROMOTE_SHARE, QueueItem
from geraniumrail.fairness.traffic_classes import rule_of
from geraniumrail.fairness.waiting_item import WaitingItem

Position = tuple[float, bool, float]  # tag in tokens, whether not resumed, tie-breaker


class OrganisationQueue:
    """Waiting items by class, and the tag of the organisation (see `FairQueue`)."""

    def __init__(self, tag: float) -> None:
        """Starts without items.

        :param tag: initial tag, in tokens for a weight of 1.
        """
        self.tag = tag
        self.in_flight = 0
        self.depth = 0
        self.weight: float = 1  # of the newest item
        # Key: class, and whether resumed.
        self._waiting_by_class: dict[
            tuple[str, bool], collections.OrderedDict[str, WaitingItem]
        ] = {}
        self._tokens_by_class: collections.Counter[str] = collections.Counter()

    def add(self, item: QueueItem, now: float) -> None:
        """Appends an item.

        :param item: not in the queue yet.
        :param now: monotonic seconds.
        """
        if item.completion_bound_s is None:
            promote_at = now + rule_of(item.traffic_class).promote_after_s
        else:
            promote_at = now + PROMOTE_SHARE * item.completion_bound_s
        key = (item.traffic_class, item.resumed)
        waiting = self._waiting_by_class.setdefault(key, collections.OrderedDict())
        waiting[item.item_id] = WaitingItem(item, promote_at)
        self.depth += 1
        self.weight = item.weight
        self._tokens_by_class[item.traffic_class] += item.weighted_tokens

    def discard(self, item: QueueItem) -> None:
        """Removes a waiting item.

        :param item: in this queue.
        """
        self._waiting_by_class[item.traffic_class, item.resumed].pop(item.item_id)
        self.depth -= 1
        self._tokens_by_class[item.traffic_class] -= item.weighted_tokens

    def heads(
        self,
        floor: float,
        now: float,
        classes: Collection[str] | None = None,
    ) -> list[tuple[Position, QueueItem]]:
        """Returns the first item of each class and its position; the lowest position goes first.

        :param floor: lowest tag of the organisations with waiting items; the tag of resumed
            items.
        :param now: monotonic seconds.
        :param classes: classes to consider; None for all.
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
        return tag + waiting.tag_offset_tokens(now), not resumed, waiting.tie_breaker()

    def backlog(self, traffic_class: str) -> float:
        """Returns the waiting tokens of a class and of those before it, for a weight of 1.

        :param traffic_class: chat, quick or review.
        """
        limit = rule_of(traffic_class).tag_offset_tokens
        return sum(
            tokens
            for name, tokens in self._tokens_by_class.items()
            if rule_of(name).tag_offset_tokens <= limit
        )
