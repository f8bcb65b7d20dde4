"""Where all entries send the same prefix, without telling each other."""

import functools
import hashlib
import heapq
from collections.abc import Iterable

# A second home takes over when the first is loaded or leaves.
HOMES = 2


def homes_of(prefix: str, instances: Iterable[str]) -> tuple[str, ...]:
    """Returns the homes of a prefix, best first, by rendezvous hashing.

    An engine that comes or goes changes the homes of its own prefixes only.

    :param prefix: first part of a prompt; with none there is no home.
    :param instances: engines that may be chosen.
    """
    if not prefix:
        return ()
    return tuple(heapq.nlargest(HOMES, instances, key=lambda instance: _rank(prefix, instance)))


@functools.lru_cache(maxsize=65536)
def _rank(prefix: str, instance: str) -> bytes:
    return hashlib.blake2b(f'{prefix} {instance}'.encode(), digest_size=8).digest()
