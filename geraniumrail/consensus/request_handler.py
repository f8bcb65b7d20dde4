"""Answers the requests of other replicas."""

from geraniumrail.consensus import events
from geraniumrail.consensus.context import Context
from geraniumrail.consensus.entry import HardState, Snapshot
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    HelloReply,
    InstallReply,
    InstallRequest,
    Reply,
    Request,
    VoteReply,
    VoteRequest,
)
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import LogConflictError


class RequestHandler:
    """Handles hello, vote, append and install requests."""

    def __init__(self, context: Context) -> None:
        """Creates the handlers.

        :param context: the replica.
        """
        self._context = context
        self._receiving = (0, 0)  # index and term of the snapshot that is being received
        self._received = bytearray()
        self._last_refusal = ('', '', '')  # reason, sender and target that were logged last

    async def answer(self, request: Request) -> Reply:
        """Answers a request.

        :param request: from another process.
        """
        match request:
            case VoteRequest():
                return await self.vote(request)
            case AppendRequest():
                return await self.append(request)
            case InstallRequest():
                return await self.install(request)
            case _:
                return self.hello()

    def hello(self) -> HelloReply:
        """Returns which replica this is."""
        context = self._context
        membership = context.membership
        unknown = Member(replica_id=context.replica_id, address=context.config.address)
        return HelloReply(
            group=context.config.group,
            group_id=membership.group_id,
            member=membership.find(context.replica_id) or unknown,
            leader=context.election.leader_address,
        )

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Grants a vote: at most one in a term, durably, and to nobody while a leader may be live.

        :param request: from a candidate.
        """
        context = self._context
        refused = self._refusal_reason(request)
        if refused:
            return VoteReply(replica_id=context.replica_id, refused=refused)
        refused = self._vote_refusal_reason(request)
        if refused:
            return VoteReply(replica_id=context.replica_id, term=context.term, refused=refused)
        if request.pre:
            return VoteReply(replica_id=context.replica_id, term=context.term, granted=True)
        if request.term > context.term:
            context.become_follower(request.term)
        context.journal.set_hard_state(HardState(term=request.term, voted_for=request.sender))
        context.set_deadline()
        await context.journal.sync()
        hard = context.journal.hard
        granted = hard.term == request.term and hard.voted_for == request.sender
        return VoteReply(replica_id=context.replica_id, term=hard.term, granted=granted)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Stores the entries of the leader; success means that they are durable.

        :param request: from a leader.
        """
        context = self._context
        journal = context.journal
        refused = self._refusal_reason(request)
        if refused:
            return AppendReply(replica_id=context.replica_id, refused=refused)
        if request.term < context.term:
            return AppendReply(replica_id=context.replica_id, term=context.term)
        context.become_follower(request.term, request.sender, request.address)
        hint = self._mismatch_hint(request)
        if hint is not None:
            return AppendReply(replica_id=context.replica_id, term=context.term, hint_index=hint)
        if self._store(request):
            await journal.sync()
            if context.term != request.term:
                return AppendReply(replica_id=context.replica_id, term=context.term)
        agreed = request.prev_index + len(request.entries)
        context.applier.advance(min(request.commit, agreed))
        if request.campaign and context.replica_id in context.membership.voter_ids():
            context.election.transfer_term = request.term
            context.election_changed.set()
        return AppendReply(
            replica_id=context.replica_id,
            term=context.term,
            success=True,
            match_index=min(agreed, journal.durable_index),
        )

    async def install(self, request: InstallRequest) -> InstallReply:
        """Collects the parts of a snapshot and installs it after the last one.

        :param request: from a leader.
        """
        context = self._context
        refused = self._refusal_reason(request)
        if refused:
            return InstallReply(replica_id=context.replica_id, refused=refused)
        if request.term < context.term:
            return InstallReply(replica_id=context.replica_id, term=context.term)
        context.become_follower(request.term, request.sender, request.address)
        if self._receiving != (request.index, request.index_term) or not request.offset:
            self._receiving = (request.index, request.index_term)
            self._received = bytearray()
        done = request.index <= context.applier.commit_index
        if not done and request.offset == len(self._received):
            self._received += request.part
            done = request.last
            if done:
                self._install_snapshot(request)
        if done:
            await context.journal.sync()
        return InstallReply(
            replica_id=context.replica_id,
            term=context.term,
            offset=len(self._received),
            done=done and context.term == request.term,
        )

    def _refusal_reason(self, request: VoteRequest | AppendRequest | InstallRequest) -> str:
        context = self._context
        membership = context.membership
        addressed = request.target == context.replica_id
        same_group = request.group == context.config.group
        if context.election.role == 'failed':
            reason = 'failed'
        elif addressed and same_group and membership.group_id in {'', request.group_id}:
            return ''
        else:
            reason = 'another group' if addressed else 'another replica'
        refused = (reason, request.sender, request.target)
        if refused != self._last_refusal:  # a sender repeats its requests
            self._last_refusal = refused
            log(events.REQUEST_REFUSED, reason=reason, sender=request.sender, target=request.target)
        return reason

    def _vote_refusal_reason(self, request: VoteRequest) -> str:
        context = self._context
        journal = context.journal
        hard = journal.hard
        voted = hard.voted_for not in {'', request.sender} and hard.term == request.term
        if not context.membership.group_id:
            return 'belongs to no group'
        if request.term < hard.term or (voted and not request.pre):
            return 'term'
        if request.early and (
            context.election.role == 'leader' or context.election.had_leader_contact
        ):
            return 'leader was heard'
        if context.has_leader_contact() and not request.transfer and not request.early:
            return 'leader is live'
        own = (journal.last_term, journal.last_index)
        return 'log is behind' if (request.last_term, request.last_index) < own else ''

    def _mismatch_hint(self, request: AppendRequest) -> int | None:
        """Returns the highest position that may agree, or None if the previous entry agrees."""
        journal = self._context.journal
        if request.prev_index > journal.last_index:
            return journal.last_index
        term = journal.term_at(request.prev_index)
        if term is None or term == request.prev_term:
            return None  # positions before the base of the log are committed
        hint = request.prev_index - 1
        while hint > self._context.applier.commit_index and journal.term_at(hint) == term:
            hint -= 1
        return hint

    def _store(self, request: AppendRequest) -> bool:
        journal = self._context.journal
        commit = self._context.applier.commit_index
        unknown = (
            position
            for position, entry in enumerate(request.entries)
            if entry.index > journal.base_index and journal.term_at(entry.index) != entry.term
        )
        first = next(unknown, None)
        if first is not None:
            entries = request.entries[first:]
            if entries[0].index <= commit:
                raise LogConflictError(index=entries[0].index, commit=commit)
            journal.append(entries)
        return bool(request.entries)

    def _install_snapshot(self, request: InstallRequest) -> None:
        context = self._context
        snapshot = Snapshot(
            index=request.index,
            term=request.index_term,
            membership=request.membership,
            payload=bytes(self._received),
        )
        self._received = bytearray()
        context.journal.install(snapshot)
        context.applier.restore(snapshot)
        log(events.SNAPSHOT_INSTALLED, index=snapshot.index, bytes=len(snapshot.payload))
