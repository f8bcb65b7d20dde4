"""Membership changes of one member; each function returns the new membership."""

from geraniumrail.consensus.context import Context
from geraniumrail.consensus.leadership import Leadership
from geraniumrail.consensus.membership import Member, Membership
from geraniumrail.errors.consensus import MembershipError, NotCaughtUpError


def with_learner(context: Context, member: Member) -> Membership:
    """Adds a learner, or changes the address of a member.

    :param context: the leader.
    :param member: its replica id and address.
    """
    known = context.membership.find(member.replica_id)
    voter = known is not None and known.voter
    added = Member(replica_id=member.replica_id, address=member.address, voter=voter)
    return context.membership if added == known else context.membership.with_member(added)


def with_voter(context: Context, leadership: Leadership, replica_id: str) -> Membership:
    """Makes a learner a voter.

    :param context: the leader.
    :param leadership: its leadership.
    :param replica_id: the learner.
    :raises MembershipError: if it has not caught up or is not a member.
    """
    peer = leadership.peers.by_id.get(replica_id)
    if peer is None:
        raise MembershipError(replica_id=replica_id, reason='it is the leader or not a member')
    if peer.member.voter:
        return context.membership
    if context.clock.now() - peer.caught_up_at >= context.config.lease_s:
        raise NotCaughtUpError(replica_id=replica_id, reason='it has not caught up')
    voter = Member(replica_id=replica_id, address=peer.member.address, voter=True)
    return context.membership.with_member(voter)


def without(context: Context, leadership: Leadership, replica_id: str) -> Membership:
    """Removes another member.

    :param context: the leader.
    :param leadership: its leadership.
    :param replica_id: the member.
    :raises MembershipError: if it is the leader, or too few of the other voters are live.
    """
    if replica_id == context.replica_id:
        raise MembershipError(replica_id=replica_id, reason='transfer leadership first')
    remaining = context.membership.without(replica_id)
    live_after = context.clock.now() - context.config.lease_s
    live = (name for name, peer in leadership.peers.by_id.items() if peer.contact_at >= live_after)
    if not remaining.is_majority(frozenset((context.replica_id, *live))):
        raise MembershipError(
            replica_id=replica_id, reason='the remaining voters have no live majority'
        )
    return remaining
