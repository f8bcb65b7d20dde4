"""Initial log of a group that is formed without an operator."""

import hashlib
from collections.abc import Sequence

from geraniumrail.consensus.entry import Entry, HardState, Stored
from geraniumrail.consensus.membership import Member, Membership
from geraniumrail.core import codec

_DIGEST_BYTES = 8
_FOUNDER_SUFFIX = 'first'


def founder_id(address: str) -> str:
    """Returns the replica id of a founder, which must not be used again after a loss of its disk.

    :param address: ip:port of the founder.
    """
    return f'{address.replace(".", "-")}.{_FOUNDER_SUFFIX}'


def founding_state(address: str, founders: Sequence[str]) -> Stored | None:
    """Returns the initial log of a founder, or None for any other replica.

    All founders start from the same membership at the same position, so that they form a single
    group whatever the order of their starts and crashes.

    :param address: ip:port of this replica.
    :param founders: ip:port of all founders, the same list at each of them.
    """
    if address not in founders:
        return None
    ordered = sorted(set(founders))
    digest = hashlib.blake2b(' '.join(ordered).encode(), digest_size=_DIGEST_BYTES)
    members = tuple(
        Member(replica_id=founder_id(founder), address=founder, voter=True) for founder in ordered
    )
    payload = codec.encode(Membership(group_id=digest.hexdigest(), members=members))
    return Stored(
        replica_id=founder_id(address),
        hard=HardState(term=1),
        entries=(Entry(index=1, term=1, kind='membership', payload=payload),),
    )
