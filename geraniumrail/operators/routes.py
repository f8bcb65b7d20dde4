"""The route table for operators."""

from aiohttp import web

from geraniumrail.control.control import Control
from geraniumrail.operators.cluster_routes import ClusterRoutes
from geraniumrail.operators.move_routes import MoveRoutes
from geraniumrail.operators.order_routes import OrderRoutes
from geraniumrail.operators.quarantine_routes import QuarantineRoutes
from geraniumrail.operators.settings_routes import SettingsRoutes


def operator_routes(control: Control) -> list[web.RouteDef]:
    """Returns all routes of the operators' address.

    :param control: the control role of this process.
    """
    tables = (
        SettingsRoutes(control),
        MoveRoutes(control),
        OrderRoutes(control),
        ClusterRoutes(control),
        QuarantineRoutes(control),
    )
    return [route for table in tables for route in table.routes()]
