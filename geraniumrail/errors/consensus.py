"""Failures of the replicated log."""

from geraniumrail.errors.base import GeraniumrailError


class ConsensusError(GeraniumrailError):
    """A failure of the replicated log."""

    status = 503


class NotLeaderError(ConsensusError):
    """This replica is not the leader; `leader` is the address of the leader if it is known."""

    type_name = 'not_leader'
    template = 'this replica is not the leader (leader: {leader})'


class NoQuorumError(ConsensusError):
    """The leader can't reach a majority; nothing was appended."""

    type_name = 'no_quorum'
    template = 'no majority of voters of group {group} can be reached'


class ProposalLostError(ConsensusError):
    """The proposal may or may not commit: leadership or the time limit was lost while waiting."""

    type_name = 'proposal_lost'
    template = 'the outcome of the proposal at index {index} is unknown'


class LogDamagedError(ConsensusError):
    """A record in the middle of the log or a snapshot fails its checksum."""

    type_name = 'log_damaged'
    template = '{file} is damaged at offset {offset}: {reason}'


class MembershipError(ConsensusError):
    """A membership change was refused."""

    type_name = 'membership_refused'
    status = 409
    template = 'membership change of {replica_id} refused: {reason}'


class NotCaughtUpError(MembershipError):
    """A learner may not become a voter yet."""

    type_name = 'not_caught_up'


class NoGroupError(ConsensusError):
    """This replica belongs to no group yet."""

    type_name = 'no_group'
    template = 'this replica belongs to no group; run `geraniumrail members init` or `add`'


class PeerUnreachableError(ConsensusError):
    """A request to another replica got no reply."""

    type_name = 'peer_unreachable'
    template = 'no reply from {address}: {reason}'


class TransferFailedError(ConsensusError):
    """Leadership could not be moved; this replica may still be the leader."""

    type_name = 'transfer_failed'
    template = 'leadership was not moved to {target}: {reason}'


class ReplicaFailedError(ConsensusError):
    """The replica has stopped taking part; its process has to be restarted."""

    type_name = 'replica_failed'
    template = 'replica {replica_id} has failed: {reason}'


class LogConflictError(ConsensusError):
    """A leader's entries contradict committed ones, which the protocol excludes."""

    type_name = 'log_conflict'
    template = 'an entry at index {index} contradicts committed entries up to {commit}'


class FolderInUseError(ConsensusError):
    """Another process or replica has the data folder open."""

    type_name = 'folder_in_use'
    template = 'data folder {folder} is in use'


class CommandTooLargeError(ConsensusError):
    """The command exceeds the limit of one log entry; nothing was appended."""

    type_name = 'command_too_large'
    status = 413
    template = 'the command has {size} bytes; the limit is {limit}'


class ProposalQueueFullError(ConsensusError):
    """Too many proposals wait for a majority; nothing was appended."""

    type_name = 'proposal_queue_full'
    template = '{limit} proposals are already waiting'


class UncommittedLogFullError(ConsensusError):
    """The proposals that wait for a majority are too large together; nothing was appended."""

    type_name = 'uncommitted_log_full'
    template = 'proposals of {size} bytes are already waiting; the limit is {limit}'
