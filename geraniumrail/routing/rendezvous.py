"""Instances to which all entries send the same prefix, without exchanging messages."""

import functools
import hashlib
import heapq
from collections.abc import Iterable

# Per prefix. The second takes over when the first is overloaded or leaves.
PREFERRED_INSTANCES = 2
# Odd and without a pattern in its bits (the golden ratio times 2 to the 64).
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_HALF = 32


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


def quick_rank(key: str, choice: str) -> int:
    """Returns a weight like `rank`, from one digest of each argument instead of one of each pair.

    A digest of each pair takes over 100 µs for the choices of one key.

    :param key: what is placed.
    :param choice: where it may be placed.
    """
    mixed = (_number(key) ^ _number(choice)) * _MULTIPLIER & _MASK
    return (mixed ^ mixed >> _HALF) * _MULTIPLIER & _MASK


@functools.lru_cache(maxsize=16384)
def _number(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), 'big')
