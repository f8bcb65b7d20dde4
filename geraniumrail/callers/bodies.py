"""Reads request bodies within the limits of size and time."""

import asyncio

import msgspec
from aiohttp import web

from geraniumrail.core.malformed import MALFORMED
from geraniumrail.errors.request import BodyTooLargeError, InvalidRequestError, SlowRequestError

BODY_TIMEOUT_S = web.AppKey('body_timeout_s', float)


async def read_body(request: web.Request, limit_bytes: int) -> bytes:
    """Reads the whole body.

    :param request: the request.
    :param limit_bytes: largest body.
    :raises BodyTooLargeError: if it is larger.
    :raises SlowRequestError: if it does not arrive in time.
    """
    if (request.content_length or 0) > limit_bytes:
        raise BodyTooLargeError(limit_bytes=limit_bytes)
    timeout_s = request.app[BODY_TIMEOUT_S]
    parts = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for part in request.content.iter_any():
                parts.extend(part)
                if len(parts) > limit_bytes:
                    raise BodyTooLargeError(limit_bytes=limit_bytes)
    except TimeoutError as error:
        raise SlowRequestError(limit_s=timeout_s) from error
    return bytes(parts)


def parse_object(body: bytes) -> dict[str, object]:
    """Parses a JSON object.

    :param body: the body.
    :raises InvalidRequestError: if it is malformed or not an object.
    """
    try:
        parsed = msgspec.json.decode(body)
    except MALFORMED as error:
        raise InvalidRequestError(reason=f'malformed JSON: {error}') from error
    if not isinstance(parsed, dict):
        raise InvalidRequestError(reason='the body must be a JSON object')
    return parsed
