"""Routes that every stand-in server has: faults, departure, health."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from geraniumrail.standins.departure import Departure
from geraniumrail.standins.faults import Faults
from geraniumrail.standins.replies import error_reply, json_reply, read_json

# A test must reach these while the connections it has open are silent.
_TEST_PATHS = frozenset(('/v1/faults', '/v1/journal', '/v1/leave', '/journal'))


class ServerRoutes:
    """Handlers shared by the engine and the plain service."""

    def __init__(
        self,
        faults: Faults,
        departure: Departure,
        connections: Callable[[], set[object]],
        leave: Callable[[float | None], None],
    ) -> None:
        """Creates the handlers.

        :param faults: switches.
        :param departure: whether the server is leaving.
        :param connections: lists the open connections.
        :param leave: starts to leave, with the notice in seconds.
        """
        self._faults = faults
        self._departure = departure
        self._connections = connections
        self._start_leaving = leave

    @web.middleware
    async def silence(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Holds requests on silent connections."""
        if request.path not in _TEST_PATHS:
            await self._faults.obey_silence(request.protocol)
        return await handler(request)

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Returns the routes."""
        return (
            web.post('/v1/faults', self._fault),
            web.post('/v1/leave', self._leave),
            web.get('/healthz', self._healthy),
        )

    async def _fault(self, request: web.Request) -> web.Response:
        try:
            fault = self._faults.switch(await read_json(request))
        except msgspec.ValidationError as error:
            return error_reply(400, 'invalid_fault', str(error))
        if fault.mode == 'silent':
            self._faults.silence(self._connections() - {request.protocol})
        return json_reply({'set': fault.mode})

    async def _leave(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        self._start_leaving(body.get('notice_s'))
        return json_reply({'leaving': True})

    async def _healthy(self, request: web.Request) -> web.Response:
        return json_reply({'status': 'leaving' if self._departure.leaving else 'serving'})
