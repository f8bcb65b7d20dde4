"""The other members of the group of a leader."""

import asyncio
import itertools
from collections.abc import Callable

from geraniumrail.consensus.context import Context
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.peer import Peer

_Tasks = tuple[asyncio.Task[None], ...]


class Peers:
    """The peers of a leader and their tasks."""

    def __init__(self, context: Context, on_reply: Callable[[int], None]) -> None:
        """Creates the collection without peers; `reconcile` starts them.

        :param context: the leader.
        :param on_reply: called after each reply with the term of the member.
        """
        self.by_id: dict[str, Peer] = {}
        self._context = context
        self._on_reply = on_reply
        self._numbers = itertools.count()
        self._tasks_by_id: dict[str, _Tasks] = {}

    def reconcile(self) -> None:
        """Starts and stops peers after the membership has changed."""
        context = self._context
        others = context.membership.without(context.replica_id).members
        kept = {member.replica_id for member in others}
        left_ids = [replica_id for replica_id in self.by_id if replica_id not in kept]
        for left in left_ids:
            self.by_id.pop(left)
            for task in self._tasks_by_id.pop(left):
                task.cancel()
        for member in others:
            peer = self.by_id.get(member.replica_id)
            if peer is None:
                self._start(member)
            else:
                peer.member = member

    def stop(self) -> None:
        """Stops all peers."""
        for task in itertools.chain.from_iterable(self._tasks_by_id.values()):
            task.cancel()

    def raise_errors(self) -> None:
        """Raises the error that ended a task, if any has ended."""
        for task in itertools.chain.from_iterable(self._tasks_by_id.values()):
            if task.done():
                task.result()

    def next_request_number(self) -> int:
        """Returns the number of the next request; requests to all peers share one sequence."""
        return next(self._numbers)

    def wake(self) -> None:
        """Makes the peers send new entries or a new commit index."""
        for peer in self.by_id.values():
            peer.work_available.set()

    def request_heartbeats(self) -> None:
        """Makes the peers send heartbeats at once."""
        for peer in self.by_id.values():
            peer.heartbeat_requested.set()

    def majority_value(self, own: float, measure: Callable[[Peer], float]) -> float:
        """Returns the largest value that a majority of the voters has reached.

        :param own: value of this replica.
        :param measure: returns the value of a peer.
        """
        values_by_id = {replica_id: measure(peer) for replica_id, peer in self.by_id.items()}
        values_by_id[self._context.replica_id] = own
        return self._context.membership.majority_value(values_by_id)

    def quorum_contact_at(self) -> float:
        """Returns the last time at which a majority of the voters confirmed this leader."""
        return self.majority_value(float('inf'), lambda peer: peer.contact_at)

    def quorum_request_number(self) -> float:
        """Returns the largest request number that a majority of the voters has answered."""
        return self.majority_value(float('inf'), lambda peer: peer.contact_request_number)

    def _start(self, member: Member) -> None:
        peer = Peer(self._context, member, self.next_request_number, self._on_reply)
        self.by_id[member.replica_id] = peer
        self._tasks_by_id[member.replica_id] = (
            asyncio.ensure_future(peer.replicate()),
            asyncio.ensure_future(peer.send_heartbeats()),
        )
