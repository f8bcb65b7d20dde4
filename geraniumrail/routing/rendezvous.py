"""Instances to which all entries send the same prefix, without exchanging messages."""

import functools
import hashlib
import heapq
from collections.abc import Iterable

# Per prefix. The second takes over when the first is overloaded or leaves.
PREFERRED_INSTANCES = 2


def preferred_instances(prefix: str, instances: Iterable[str]) -> tuple[str, ...]:
    """Returns the preferred instances of a prefix, best first, by rendezvous hashing.

    An engine that is added or removed changes them only for the prefixes that prefer it.

    :param prefix: first part of a prompt; an empty one has no preferred instances.
    :param instances: engines that may be chosen.
    """
    if not prefix:
        return ()
    return tuple(
        heapq.nlargest(PREFERRED_INSTANCES, instances, key=lambda instance: rank(prefix, instance))
    )


@functools.lru_cache(maxsize=65536)
def rank(key: str, choice: str) -> bytes:
    """Returns the weight of a choice for a key; that of other choices does not change with it.

    :param key: what is placed.
    :param choice: where it may be placed.
    """
    return hashlib.blake2b(f'{key} {choice}'.encode(), digest_size=8).digest()
