"""Digests of prompt prefixes, the same at engines (cache events) and entries (routing hints)."""

import hashlib

BLOCK_CHARACTERS = 256
_DIGEST_BYTES = 8


def prefix_digests(prompt: str, limit: int = 16) -> tuple[str, ...]:
    """Returns one digest for each whole block of the prompt, shortest prefix first.

    A prompt shorter than a block has one digest.

    :param prompt: text of the whole prompt.
    :param limit: greatest number of digests.
    """
    blocks = min(limit, max(1, len(prompt) // BLOCK_CHARACTERS))
    running = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digests = []
    for block in range(blocks):
        start = block * BLOCK_CHARACTERS
        running.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(running.hexdigest())
    return tuple(digests)
