"""Identifies requests that are the same as a whole, whatever prompt parts they name."""

import hashlib

# No id of a prompt part contains a comma: callers list them separated by commas.
_PREFIX = 'request,'
_DIGEST_BYTES = 16
_LENGTH_BYTES = 4


def fingerprint_of(organisation: str, method: str, target: str, body: bytes) -> str:
    """Returns the same fingerprint for requests with the same caller, target and body.

    :param organisation: name of the organisation; empty: anonymous.
    :param method: HTTP method.
    :param target: path and query.
    :param body: the whole body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (organisation, method, target):
        encoded = field.encode(errors='surrogateescape')
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES))
        digest.update(encoded)
    digest.update(body)
    return f'{_PREFIX}{digest.hexdigest()}'


def is_fingerprint(trait: str) -> bool:
    """Tells the fingerprint of a request from the id of a prompt part.

    :param trait: either.
    """
    return trait.startswith(_PREFIX)
