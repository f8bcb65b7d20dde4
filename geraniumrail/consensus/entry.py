"""Records that a replica stores."""

from typing import Literal

from geraniumrail.consensus.membership import Membership
from geraniumrail.core.codec import record

Kind = Literal['command', 'barrier', 'membership']


@record
class Entry:
    """One position of the log."""

    index: int
    term: int
    kind: Kind = 'command'
    payload: bytes = b''  # command for the state machine, or an encoded `Membership`


@record
class HardState:
    """Term and vote, stored so that a replica votes at most once in a term."""

    term: int = 0
    voted_for: str = ''


@record
class Snapshot:
    """State of the state machine after `index`; index 0 is the empty state."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    payload: bytes = b''


@record
class Stored:
    """Content of the storage of a replica."""

    replica_id: str
    hard: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    base_index: int = 0  # index and term of the position before the first entry
    base_term: int = 0
    entries: tuple[Entry, ...] = ()
