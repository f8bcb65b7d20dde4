"""Whether a client still waits for its answer."""

from aiohttp import web


def is_awaited(request: web.BaseRequest) -> bool:
    """Returns whether the connection of a request still stands.

    :param request: the request.
    """
    return request.transport is not None and not request.transport.is_closing()
