"""Identifiers."""

import random
import secrets

_RANDOM = random.Random(secrets.randbits(128))
_ID_BITS = 64


def new_id(prefix: str) -> str:
    """Returns an identifier that is unique with overwhelming probability.

    :param prefix: what is identified, for readers of logs.
    """
    return f'{prefix}-{_RANDOM.getrandbits(_ID_BITS):016x}'
