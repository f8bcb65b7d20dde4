"""Status of a replica and results of its commands."""

import dataclasses
from typing import Literal

from geraniumrail.consensus.membership import Member
from geraniumrail.core.codec import record

Role = Literal['follower', 'candidate', 'leader', 'failed']


@record
class ReplicaStatus:
    """State of a replica at one moment."""

    replica_id: str
    group: str
    group_id: str  # empty if the replica belongs to no group
    role: Role
    term: int
    leader: str  # address of the leader, empty if it is not known
    commit: int
    applied: int
    last_index: int
    snapshot_index: int
    members: tuple[Member, ...]
    lease: bool  # whether the replica may act as the leader
    # Leader: since a majority last confirmed it; others: since the last contact with a leader.
    quorum_contact_age_s: float
    lag_by_id: dict[str, int]  # leader only: entries that each member lacks
    # Leader only: seconds since each member answered.
    silence_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    log_bytes: int = 0  # sum of the payloads of the entries after the base of the log


@record
class Result:
    """A command that has been committed and applied."""

    index: int
    payload: bytes  # result of the state machine
