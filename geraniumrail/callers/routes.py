"""The route table for callers and backend servers."""

from aiohttp import web

from geraniumrail.callers.completion_routes import CompletionRoutes
from geraniumrail.callers.info_routes import InfoRoutes
from geraniumrail.callers.service_routes import ServiceRoutes
from geraniumrail.callers.serving import Serving


def caller_routes(serving: Serving) -> list[web.RouteDef]:
    """Returns all routes of the callers' address.

    :param serving: the entry.
    """
    tables = (CompletionRoutes(serving), ServiceRoutes(serving), InfoRoutes(serving))
    return [route for table in tables for route in table.routes()]
