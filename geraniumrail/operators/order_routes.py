"""Orders to engines."""

from aiohttp import web

from geraniumrail.backends.connections import Connections, ConnectionsConfig
from geraniumrail.backends.engine_control import EngineControl
from geraniumrail.backends.engine_order import ORDER_KINDS
from geraniumrail.callers.bodies import parse_object, read_body
from geraniumrail.callers.failures import json_response
from geraniumrail.control.control import Control
from geraniumrail.errors.request import InvalidRequestError
from geraniumrail.operators.fields import MAX_BODY_BYTES, operator_of, text_field
from geraniumrail.state import commands


class OrderRoutes:
    """Passes operators' orders to the leader's part that numbers them."""

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [web.post('/v1/admin/orders', self.give)]

    async def give(self, request: web.Request) -> web.Response:
        """Gives an order to one engine; the same order id is safe to resend.

        :param request: the HTTP request.
        """
        operator_of(request)
        body = parse_object(await read_body(request, MAX_BODY_BYTES))
        command = commands.IssueOrder(
            order_id=text_field(body, 'order_id'),
            backend=text_field(body, 'instance'),
            kind=text_field(body, 'kind'),
            name=text_field(body, 'name'),
        )
        if command.kind not in ORDER_KINDS:
            raise InvalidRequestError(reason=f'kind must be one of {", ".join(ORDER_KINDS)}')
        # Orders are rare and each takes a connection of its own.
        connections = Connections.from_config(ConnectionsConfig())
        try:
            order, outcome = await self._control.orders.send(EngineControl(connections), command)
        finally:
            await connections.close()
        return json_response(
            {
                'order_id': command.order_id,
                'instance': command.backend,
                'kind': order.kind,
                'name': order.name,
                'term': order.term,
                'number': order.number,
                'outcome': outcome,
            },
        )
