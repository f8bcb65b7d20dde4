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
        heapq.nlargest(PREFERRED_INSTANCES, instances, key=lambda instance: _rank(prefix, instance))
    )


@functools.lru_cache(maxsize=65536)
def _rank(prefix: str, instance: str) -> bytes:
    return hashlib.blake2b(f'{prefix} {instance}'.encode(), digest_size=8).digest()
