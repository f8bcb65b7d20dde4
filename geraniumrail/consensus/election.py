"""Campaigns: a pre-vote, then a vote."""

import asyncio
import dataclasses

from geraniumrail.consensus import events
from geraniumrail.consensus.context import Context
from geraniumrail.consensus.entry import HardState
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.messages import VoteReply, VoteRequest
from geraniumrail.consensus.timeout import within
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError

# Tests disable this rule to show which fault it prevents.
UNANIMOUS_EARLY_PRE_VOTE = True


async def campaign(context: Context, early: bool = False) -> bool:
    """Tries to win an election; returns whether this replica may lead the current term.

    An early campaign starts while a leader might still hold a lease. It continues only if every
    voter answers that it is not the leader and has had no contact with a leader since its process
    started: a leader with a lease is a voter itself, and its answer ends the campaign.

    :param context: the replica.
    :param early: whether the campaign is an early one.
    """
    election = context.election
    transfer = context.is_transfer_target()
    election.transfer_term = 0
    started_term = context.term
    if not early:
        log(events.CAMPAIGN, replica=context.replica_id, term=started_term + 1, transfer=transfer)
    if not transfer and not await _collect_votes(context, pre=True, early=early):
        return False
    overtaken = (
        election.had_leader_contact if early else context.has_leader_contact() and not transfer
    )
    if context.term != started_term or overtaken:
        return False
    if early:
        log(events.CAMPAIGN, replica=context.replica_id, term=started_term + 1, early=True)
    election.role = 'candidate'
    election.leader_id = ''
    election.leader_address = ''
    term = started_term + 1
    context.journal.set_hard_state(HardState(term=term, voted_for=context.replica_id))
    await context.journal.sync()
    if context.term != term:
        return False
    won = await _collect_votes(context, transfer=transfer, early=early)
    return won and context.term == term and election.role == 'candidate'


async def _collect_votes(
    context: Context, pre: bool = False, transfer: bool = False, early: bool = False
) -> bool:
    """Requests votes; returns whether a majority has granted them.

    An early pre-vote has to be unanimous.
    """
    journal = context.journal
    request = VoteRequest(
        group=context.config.group,
        group_id=context.membership.group_id,
        target='',
        sender=context.replica_id,
        term=context.term + int(pre),
        last_index=journal.last_index,
        last_term=journal.last_term,
        pre=pre,
        transfer=transfer,
        early=early,
    )
    membership = context.membership
    unanimous = early and pre and UNANIMOUS_EARLY_PRE_VOTE
    granted = frozenset((context.replica_id,))
    others = (member for member in membership.members if member.replica_id != context.replica_id)
    replies: asyncio.Queue[VoteReply] = asyncio.Queue()
    calls = [
        asyncio.ensure_future(_request_vote(context, member, request, replies))
        for member in others
        if member.voter
    ]
    try:
        for _ in calls:
            if membership.is_majority(granted) and not unanimous:
                break
            reply = await replies.get()
            if unanimous and not reply.granted:
                return False
            if reply.granted:
                granted |= {reply.replica_id}
            elif reply.term > context.term:
                context.become_follower(reply.term)
                return False
    finally:
        for call in calls:
            call.cancel()
    return membership.is_majority(granted)


async def _request_vote(
    context: Context,
    member: Member,
    request: VoteRequest,
    replies: 'asyncio.Queue[VoteReply]',
) -> None:
    addressed = dataclasses.replace(request, target=member.replica_id)
    call = context.transport.vote(member.address, addressed)
    try:
        reply = await within(context.clock, context.config.call_timeout_s, call)
    except (GeraniumrailError, OSError):
        reply = VoteReply(replica_id='')
    granted = reply.granted and reply.replica_id == member.replica_id
    replies.put_nowait(dataclasses.replace(reply, granted=granted))
