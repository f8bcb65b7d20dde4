"""Moves leadership to another voter."""

from geraniumrail.consensus.context import Context
from geraniumrail.consensus.leadership import Leadership
from geraniumrail.consensus.peer import Peer
from geraniumrail.consensus.timeout import within
from geraniumrail.errors.consensus import ConsensusError, TransferFailedError


async def hand_over(context: Context, leadership: Leadership, target: str | None) -> None:
    """Moves leadership to a voter once it has the whole log.

    :param context: the leader.
    :param leadership: of the leader.
    :param target: replica id; by default the voter with the longest log.
    :raises TransferFailedError: if no voter has taken over within the election timeout.
    """
    voters = [
        peer
        for peer in leadership.peers.by_id.values()
        if peer.member.voter and target in {None, peer.member.replica_id}
    ]
    if not voters:
        raise TransferFailedError(target=target, reason='no such voter')
    peer = max(voters, key=lambda voter: (voter.match_index, voter.contact_at))
    leadership.handing_over = True
    limit = context.config.election_timeout_s
    try:
        await within(context.clock, limit, _move(context, peer))
    except (ConsensusError, OSError) as error:
        chosen = peer.member.replica_id
        raise TransferFailedError(target=chosen, reason=repr(error)) from error
    finally:
        leadership.handing_over = False


async def _move(context: Context, peer: Peer) -> None:
    pause_s = context.config.tick_s / 2
    while min(context.applier.commit_index, peer.match_index) < context.journal.last_index:
        await context.clock.sleep(pause_s)
    # Votes for the target ignore the lease of this leader, so it must end before the request.
    context.follow(context.term)
    context.set_deadline()
    await peer.hand_over()
    while not context.standing.leader_id:
        await context.clock.sleep(pause_s)
