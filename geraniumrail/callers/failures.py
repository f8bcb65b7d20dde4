"""Turns failures into JSON answers with a stable type."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from geraniumrail.callers import events
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.request import (
    BodyTooLargeError,
    InvalidRequestError,
    RequestError,
    UnknownPathError,
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def json_response(body: object, status: int = 200) -> web.Response:
    """Returns a JSON answer.

    :param body: what to encode.
    :param status: HTTP status.
    """
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )


def failure_response(error: GeraniumrailError) -> web.Response:
    """Returns the answer for a failure.

    :param error: the failure.
    """
    response = json_response(error.to_body(), error.status)
    retry_after = error.fields.get('retry_after_s')
    if retry_after is not None:
        response.headers['Retry-After'] = str(retry_after)
    return response


@web.middleware
async def answer_failures(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answers typed failures as JSON and logs the others.

    :param request: the request.
    :param handler: the next handler.
    """
    try:
        return await handler(request)
    except GeraniumrailError as error:
        log(events.REQUEST_FAILED, path=request.path, type=error.type_name, reason=str(error))
        return failure_response(error)
    except web.HTTPException as error:
        return failure_response(_typed(error, request))
    except Exception as error:
        if isinstance(error, ConnectionError):
            raise
        log(events.UNEXPECTED, path=request.path, reason=repr(error))
        return failure_response(GeraniumrailError())


def _typed(error: web.HTTPException, request: web.Request) -> RequestError:
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return BodyTooLargeError(limit_bytes=request.app._client_max_size)  # noqa: SLF001
    if error.status in {404, 405}:
        return UnknownPathError(method=request.method, path=request.path)
    return InvalidRequestError(reason=error.reason)
