"""Start-time fair queueing over organisations, in tokens."""

import itertools
import math
from collections.abc import Collection

from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.organisation_queue import OrganisationQueue
from geraniumrail.fairness.queue_item import QueueItem

# How far an organisation that was idle may go ahead of the others, in tokens for a weight of 1.
IDLE_CREDIT_TOKENS = 8000
# An organisation that is this far behind the others may use the reserve of the engine windows.
RESERVE_TOKENS = 500
QUEUE_LIMIT_RETRY_S = 2


class FairQueue:
    """Shares the engines between organisations by weight; one for each engine service.

    Each organisation has a tag, the tokens charged to it divided by its weight. The item with the
    lowest tag plus class handicap goes first, so a class goes ahead only by a bounded amount.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._virtual: float = 0
        self._accounts_by_organisation: dict[str, OrganisationQueue] = {}
        self._items_by_id: dict[str, QueueItem] = {}
        self._dispatched_by_id: dict[str, QueueItem] = {}

    def push(self, item: QueueItem, now: float) -> None:
        """Adds an item.

        :param item: request to wait.
        :param now: monotonic seconds.
        :raises OverloadedError: if the organisation has too many waiting items and the item was
            not accepted before.
        """
        account = self._accounts_by_organisation.get(item.organisation)
        if account is None:
            account = OrganisationQueue(self._virtual - IDLE_CREDIT_TOKENS)
            self._accounts_by_organisation[item.organisation] = account
        if account.depth >= item.queue_limit and not item.resumed:
            raise OverloadedError(reason='queue limit', retry_after_s=QUEUE_LIMIT_RETRY_S)
        if not account.depth:
            account.tag = max(account.tag, self._virtual - IDLE_CREDIT_TOKENS)
        account.add(item, now)
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
        :param reserve_only: only organisations that have used much less than their share may go.
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
        """Removes and charges the item to dispatch next, or returns None if nothing waits.

        :param now: monotonic seconds.
        :param classes: classes for which an engine has room; None for all.
        :param reserve_only: only organisations that have used much less than their share may go.
        """
        heads = self.heads(now, classes, reserve_only=reserve_only)
        return self.take(heads[0]) if heads else None

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
        :param reserve_only: only organisations that have used much less than their share may go,
            and requests that were accepted before and lost their engine.
        """
        limit = self._virtual - RESERVE_TOKENS if reserve_only else math.inf
        waiting = [each for each in self._accounts_by_organisation.values() if each.depth]
        floor = min((account.tag for account in waiting), default=0)
        heads = itertools.chain.from_iterable(
            account.heads(floor, now, classes) for account in waiting
        )
        allowed = (head for head in heads if head[0][0] <= limit or head[1].resumed)
        return [item for _, item in sorted(allowed, key=lambda head: head[0])]

    def take(self, item: QueueItem) -> QueueItem:
        """Removes and charges a waiting item.

        :param item: to dispatch now.
        """
        self._items_by_id.pop(item.item_id)
        account = self._accounts_by_organisation[item.organisation]
        account.discard(item)
        self._virtual = max(self._virtual, account.tag)
        account.tag += item.share_tokens
        account.in_flight += 1
        self._dispatched_by_id[item.item_id] = item
        return item

    def settle(self, item_id: str, tokens: float, now: float) -> None:
        """Corrects the charge of a dispatched item when it ends; a second call does nothing.

        :param item_id: id of the item.
        :param tokens: prompt and answer tokens that it really took.
        :param now: monotonic seconds.
        """
        item = self._dispatched_by_id.pop(item_id, None)
        if item is None:
            return
        account = self._accounts_by_organisation[item.organisation]
        account.tag += tokens / item.weight - item.share_tokens
        account.in_flight -= 1
        self._drop_idle(item.organisation, account)

    def remove(self, item_id: str) -> bool:
        """Removes a waiting item whose caller is gone; tells whether it was waiting.

        :param item_id: id of the item.
        """
        item = self._items_by_id.pop(item_id, None)
        if item is None:
            return False
        account = self._accounts_by_organisation[item.organisation]
        account.discard(item)
        self._drop_idle(item.organisation, account)
        return True

    def depth(self, organisation: str | None = None) -> int:
        """Returns the number of waiting items.

        :param organisation: count only its items.
        """
        if organisation is None:
            return len(self._items_by_id)
        account = self._accounts_by_organisation.get(organisation)
        return account.depth if account else 0

    def tokens_ahead(self, item: QueueItem) -> float:
        """Returns about how many tokens are dispatched before the item if it is pushed now.

        Each organisation goes ahead at most by its own backlog, and by what it may take until its
        tag passes that of the item.

        :param item: not in the queue.
        """
        own = self._accounts_by_organisation.get(item.organisation)
        tag = max(own.tag, self._virtual - IDLE_CREDIT_TOKENS) if own else self._virtual
        own_backlog = own.backlog(item.traffic_class) if own else 0
        start = tag + own_backlog
        others = sum(
            account.weight * min(account.backlog('review'), max(0, start - account.tag))
            for account in self._accounts_by_organisation.values()
            if account is not own
        )
        return own_backlog * item.weight + others

    def _drop_idle(self, organisation: str, account: OrganisationQueue) -> None:
        # The tag of an organisation that is ahead is kept until the others have caught up.
        idle = not account.depth and not account.in_flight
        if idle and account.tag <= self._virtual - IDLE_CREDIT_TOKENS:
            del self._accounts_by_organisation[organisation]
