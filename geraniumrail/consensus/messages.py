"""Requests and replies between the replicas of a group.

Each request names its target, so that a replica that restarts with an empty folder cannot answer
for the earlier replica at the same address. `refused` in a reply is the reason why the request was
not processed.
"""

from geraniumrail.consensus.entry import Entry
from geraniumrail.consensus.membership import Member, Membership
from geraniumrail.core.codec import record


@record
class HelloRequest:
    """Asks which replica is at an address."""

    group: str


@record
class HelloReply:
    """The replica at an address; its id is needed to add it to a group."""

    group: str
    group_id: str  # empty if the replica belongs to no group
    member: Member
    leader: str  # address of the leader, empty if it is not known


@record
class VoteRequest:
    """Asks for a vote, or with `pre` whether a vote would be granted."""

    group: str
    group_id: str
    target: str
    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False  # the leader has asked the sender to campaign
    early: bool = False  # refused by a voter that had contact with a leader since its start


@record
class VoteReply:
    """Answer to a `VoteRequest`."""

    replica_id: str
    term: int = 0
    granted: bool = False
    refused: str = ''


@record
class AppendRequest:
    """Entries that follow `prev_index`; without entries it is a heartbeat."""

    group: str
    group_id: str
    target: str
    sender: str
    address: str  # of the sender
    term: int
    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[Entry, ...] = ()
    campaign: bool = False  # the sender has stepped down; the target is to campaign


@record
class AppendReply:
    """Answer to an `AppendRequest`; the log up to `match_index` is durable and agrees."""

    replica_id: str
    term: int = 0
    success: bool = False
    match_index: int = 0
    hint_index: int = 0  # without success: highest position that may agree
    refused: str = ''


@record
class InstallRequest:
    """One part of a snapshot."""

    group: str
    group_id: str
    target: str
    sender: str
    address: str  # of the sender
    term: int
    index: int
    index_term: int
    membership: Membership
    offset: int
    part: bytes
    last: bool  # whether this is the last part


@record
class InstallReply:
    """Answer to an `InstallRequest`."""

    replica_id: str
    term: int = 0
    offset: int = 0  # where the next part has to start
    done: bool = False  # the snapshot is durable and installed
    refused: str = ''


Request = HelloRequest | VoteRequest | AppendRequest | InstallRequest
Reply = HelloReply | VoteReply | AppendReply | InstallReply
