"""Replication and lease of a replica while it is the leader of a term."""

from collections.abc import Callable

from geraniumrail.consensus import events
from geraniumrail.consensus.broadcast import Broadcast
from geraniumrail.consensus.context import Context
from geraniumrail.consensus.entry import Entry, Kind
from geraniumrail.consensus.journal import Journal
from geraniumrail.consensus.membership import Membership
from geraniumrail.consensus.peers import Peers
from geraniumrail.consensus.status import Result
from geraniumrail.core import codec
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import (
    CommandTooLargeError,
    MembershipError,
    NoQuorumError,
    NotLeaderError,
    ProposalQueueFullError,
    UncommittedLogFullError,
)


class Leadership:
    """Replicates and commits entries until the term ends or contact with a majority is lost."""

    def __init__(self, context: Context) -> None:
        """Creates the leadership of the current term.

        :param context: the replica, which has won the election.
        """
        self.peers = Peers(context, self._on_reply)
        self.transferring = False
        self._context = context
        self._term = context.term
        self._progress = Broadcast()
        self._lease_lost = False
        self._barrier_index = 0
        self._started_at = context.clock.now()
        # Last time at which a majority confirmed this leader; infinite if it is the only voter.
        # Cached because each proposal checks the lease; replies and membership changes update it.
        self._quorum_contact_at = float('-inf')

    async def run(self) -> None:
        """Runs until this replica is no longer the leader of its term."""
        context = self._context
        context.journal.on_durable = self._advance
        context.election.leader_contact_at = self._started_at
        self._reconcile()
        # Entries of earlier terms are committed with an entry of this term (Raft, section 5.4.2).
        self._barrier_index = self._append('barrier', b'')
        log(events.ELECTED, replica=context.replica_id, term=self._term, index=self._barrier_index)
        while self._is_leader():
            self._check_lease()
            self.peers.raise_errors()
            await context.wait_for_change()

    def end(self) -> None:
        """Stops the tasks; the outcome of proposals in progress is unknown."""
        context = self._context
        context.journal.on_durable = None
        self.peers.stop()
        context.applier.fail_proposals(float('inf'))
        if context.election.role == 'leader':
            context.become_follower(context.term)
        context.set_deadline()
        self._progress.notify_all()
        log(events.LEADERSHIP_ENDED, replica=context.replica_id, term=self._term)

    def has_lease(self) -> bool:
        """Returns whether a majority has confirmed this leader within the lease."""
        within = self.quorum_contact_age_s() < self._context.config.lease_s
        return within and not self.transferring and self._is_leader()

    def quorum_contact_age_s(self) -> float:
        """Returns the time in seconds since a majority last confirmed this leader."""
        return max(0, self._context.clock.now() - self._quorum_contact_at)

    def require_lease(self) -> None:
        """Raises an error unless this replica may act as the leader now.

        :raises NotLeaderError: if leadership has ended or is being transferred.
        :raises NoQuorumError: if the lease has expired.
        """
        if self.transferring or not self._is_leader():
            raise NotLeaderError(leader=self._context.election.leader_address or None)
        if not self.has_lease():
            raise NoQuorumError(group=self._context.config.group)

    async def propose(self, command: bytes, kind: Kind = 'command') -> Result:
        """Appends an entry and waits until it is applied.

        :param command: payload of the entry.
        :param kind: type of the payload.
        :raises CommandTooLargeError: if the command exceeds the limit; nothing was appended.
        :raises ProposalQueueFullError: if too many proposals wait; nothing was appended.
        :raises UncommittedLogFullError: if the proposals that wait are too large; nothing was
            appended.
        :raises ProposalLostError: if the outcome is unknown.
        """
        context = self._context
        if len(command) > context.config.max_command_bytes:
            raise CommandTooLargeError(size=len(command), limit=context.config.max_command_bytes)
        if context.applier.pending >= context.config.max_pending_proposals:
            raise ProposalQueueFullError(limit=context.config.max_pending_proposals)
        uncommitted = context.journal.size_after(context.applier.commit_index)
        limit = context.config.max_uncommitted_bytes
        if uncommitted and uncommitted + len(command) > limit:
            raise UncommittedLogFullError(size=uncommitted, limit=limit)
        index = self._append(kind, command)
        return await context.applier.result_future(index, context.clock.now())

    async def read_index(self) -> int:
        """Waits until a majority has confirmed this leader after the call (Raft's ReadIndex).

        :return: position that was committed at the time of the call.
        """
        await self.wait_until(lambda: self._context.applier.commit_index >= self._barrier_index)
        index = self._context.applier.commit_index
        number = self.peers.next_request_number()
        self.peers.request_heartbeats()
        await self.wait_until(lambda: self.peers.quorum_request_number() > number)
        return index

    async def change_membership(self, replica_id: str, change: Callable[[], Membership]) -> None:
        """Commits a new membership that differs by one member.

        :param replica_id: the member that changes.
        :param change: returns the new membership, made from the newest one, or raises an error.
        :raises MembershipError: while another change is in progress.
        """
        applier = self._context.applier
        # A membership change of an earlier term must not be uncommitted (Raft, erratum of 2015).
        await self.wait_until(lambda: applier.commit_index >= self._barrier_index)
        if self._context.journal.memberships.newest_index > applier.commit_index:
            raise MembershipError(replica_id=replica_id, reason='another change is in progress')
        membership = change()
        if membership != self._context.membership:
            await self.propose(codec.encode(membership), 'membership')

    async def wait_until(self, ready: Callable[[], bool]) -> None:
        """Waits until a condition holds; it is checked after each reply and commit.

        :param ready: the condition.
        :raises ConsensusError: if this replica may no longer act as the leader.
        """
        while not ready():
            await self._progress.wait()
            self.require_lease()

    def _is_leader(self) -> bool:
        return self._context.election.role == 'leader' and self._context.term == self._term

    def _append(self, kind: Kind, payload: bytes) -> int:
        journal = self._context.journal
        entry = Entry(index=journal.last_index + 1, term=self._term, kind=kind, payload=payload)
        journal.append((entry,))
        if kind == 'membership':
            self._reconcile()
        self.peers.wake()
        return entry.index

    def _reconcile(self) -> None:
        self.peers.reconcile()
        self._quorum_contact_at = self.peers.quorum_contact_at()

    def _on_reply(self, term: int) -> None:
        context = self._context
        if not self._is_leader():
            return
        if term > self._term:
            context.become_follower(term)
            return
        self._quorum_contact_at = self.peers.quorum_contact_at()
        contact_at = context.clock.now() - self.quorum_contact_age_s()
        context.election.leader_contact_at = max(context.election.leader_contact_at, contact_at)
        self._advance()
        self._progress.notify_all()

    def _advance(self) -> None:
        """Commits the entries that a majority has stored."""
        context = self._context
        if not self._is_leader():
            return
        durable = context.journal.durable_index
        index = int(self.peers.majority_value(durable, lambda peer: peer.match_index))
        if index > context.applier.commit_index and may_commit(context.journal, index, self._term):
            context.applier.advance(index)
            self._progress.notify_all()
            self.peers.wake()

    def _check_lease(self) -> None:
        context = self._context
        now = context.clock.now()
        age = self.quorum_contact_age_s()
        leading_for = now - self._started_at
        lost = not self.transferring and min(age, leading_for) >= context.config.lease_s
        if lost:
            context.applier.fail_proposals(now)
            self._progress.notify_all()
        if lost and not self._lease_lost:
            log(events.LEASE_LOST, replica=context.replica_id, term=self._term, age_s=age)
        self._lease_lost = lost
        context.applier.fail_proposals(now - context.config.propose_timeout_s)
        if min(age, leading_for) >= context.config.election_timeout_s:
            context.become_follower(self._term)


def may_commit(journal: Journal, index: int, term: int) -> bool:
    """Returns whether an entry on a majority is committed: only one of the leader's own term is.

    :param journal: log of the leader.
    :param index: position of an entry that a majority has stored.
    :param term: term of the leader.
    """
    return journal.term_at(index) == term
