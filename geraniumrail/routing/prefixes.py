"""Digests of the leading parts of a prompt."""

import hashlib

BLOCK_TOKENS = 64
CHARS_PER_TOKEN = 4
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
MAX_BLOCKS = 64
_DIGEST_BYTES = 8


def digest_prefixes(text: str, block_chars: int = BLOCK_CHARS) -> tuple[str, ...]:
    """Returns one digest for each whole block of the prompt, each including all blocks before it.

    :param text: the prompt.
    :param block_chars: length of a block in characters.
    """
    running = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digests = []
    for block in range(min(MAX_BLOCKS, len(text) // block_chars)):
        running.update(text[block * block_chars : (block + 1) * block_chars].encode())
        digests.append(running.copy().hexdigest())
    return tuple(digests)
