"""JSON bodies of the stand-ins."""

from collections.abc import Mapping
from typing import Any

import msgspec
from aiohttp import web


async def read_json(request: web.Request) -> Any:
    """Decodes the body of a request; an empty body is an empty object.

    :raises web.HTTPBadRequest: if the body is not JSON.
    """
    payload = await request.read()
    if not payload:
        return {}
    try:
        return msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def json_reply(
    body: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> web.Response:
    """Encodes a response."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
        headers=headers,
    )


def error_reply(
    status: int, type_name: str, message: str, fields: Mapping[str, object] | None = None
) -> web.Response:
    """Encodes an error with a type.

    :param status: HTTP status.
    :param type_name: stable name of the error.
    :param message: for readers.
    :param fields: further fields of the error object.
    """
    error = {'type': type_name, 'message': message, **(fields or {})}
    return json_reply({'error': error}, status)
