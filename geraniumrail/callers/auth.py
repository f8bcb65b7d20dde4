"""API keys: the key alone decides the organisation and the role."""

from aiohttp import web

from geraniumrail.config.key_ring import KeyRing
from geraniumrail.config.keys import KeyOwner
from geraniumrail.errors.request import ForbiddenError, UnauthorizedError

KEY_RING = web.AppKey('key_ring', KeyRing)
BEARER = 'Bearer '


def owner_of(request: web.Request, role: str) -> KeyOwner:
    """Returns the owner of the request's API key.

    :param request: the request.
    :param role: role that the key must have.
    :raises UnauthorizedError: if the key is missing or not known.
    :raises ForbiddenError: if it has another role.
    """
    header = request.headers.get('Authorization', '')
    owner = request.app[KEY_RING].lookup(header.removeprefix(BEARER))
    if not header.startswith(BEARER) or owner is None:
        raise UnauthorizedError
    if owner.role != role:
        raise ForbiddenError(target=request.path)
    return owner
