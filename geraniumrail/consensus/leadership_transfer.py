"""Transfer of leadership to another voter."""

from geraniumrail.consensus.context import Context
from geraniumrail.consensus.leadership import Leadership
from geraniumrail.consensus.peer import Peer
from geraniumrail.consensus.timeout import within
from geraniumrail.errors.consensus import ConsensusError, TransferFailedError


async def transfer_leadership(context: Context, leadership: Leadership, target: str | None) -> None:
    """Transfers leadership to a voter once it has the whole log.

    :param context: the leader.
    :param leadership: its leadership.
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
    leadership.transferring = True
    limit = context.config.election_timeout_s
    try:
        await within(context.clock, limit, _transfer(context, peer))
    except (ConsensusError, OSError) as error:
        chosen = peer.member.replica_id
        raise TransferFailedError(target=chosen, reason=repr(error)) from error
    finally:
        leadership.transferring = False


async def _transfer(context: Context, peer: Peer) -> None:
    pause_s = context.config.tick_s / 2
    while min(context.applier.commit_index, peer.match_index) < context.journal.last_index:
        await context.clock.sleep(pause_s)
    # Votes for the target ignore the lease of this leader, so it steps down before the request.
    context.become_follower(context.term)
    context.set_deadline()
    await peer.request_campaign()
    while not context.election.leader_id:
        await context.clock.sleep(pause_s)
