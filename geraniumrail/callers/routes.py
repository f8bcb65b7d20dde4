"""The route table for callers and backend servers."""

import functools

from aiohttp import web

from geraniumrail.callers.completion_routes import CompletionRoutes
from geraniumrail.callers.failures import Handler
from geraniumrail.callers.info_routes import InfoRoutes
from geraniumrail.callers.service_routes import ServiceRoutes
from geraniumrail.callers.serving import Serving


def caller_routes(serving: Serving) -> list[web.RouteDef]:
    """Returns all routes of the callers' address.

    :param serving: the entry.
    """
    tables = (CompletionRoutes(serving), ServiceRoutes(serving), InfoRoutes(serving))
    return [
        web.route(
            route.method,
            route.path,
            functools.partial(_close_when_leaving, serving, route.handler),
            **route.kwargs,
        )
        for table in tables
        for route in table.routes()
    ]


async def _close_when_leaving(
    serving: Serving, handler: Handler, request: web.Request
) -> web.StreamResponse:
    """Ends kept-alive connections with an answer, so that no later request is sent on them."""
    response = await handler(request)
    if not (response.prepared or serving.ready()):
        response.force_close()
    return response
