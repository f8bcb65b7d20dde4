"""Entries, models, health and announcements."""

import msgspec
from aiohttp import web

from geraniumrail.callers.auth import owner_of
from geraniumrail.callers.bodies import read_body
from geraniumrail.callers.failures import json_response
from geraniumrail.callers.serving import Serving
from geraniumrail.config.address import split_address
from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.core.malformed import MALFORMED
from geraniumrail.errors.request import InvalidRequestError, NotRunError

MAX_ANNOUNCE_BYTES = 262_144
MAX_LEASE_S = 60
STATES = frozenset(('serving', 'leaving'))


class InfoRoutes:
    """Small answers that need no backend server."""

    def __init__(self, serving: Serving) -> None:
        """Connects the entry.

        :param serving: the entry.
        """
        self._serving = serving

    def routes(self) -> list[web.RouteDef]:
        """Returns the route table."""
        return [
            web.get('/v1/entries', self.entries),
            web.get('/v1/models', self.models),
            web.post('/v1/announce', self.announce),
            web.get('/healthz', self.health),
            web.get('/readyz', self.ready),
        ]

    async def entries(self, request: web.Request) -> web.Response:
        """Returns the entries that callers may use.

        :param request: the HTTP request.
        """
        self._serving.require_lease()
        addresses, keep_for_s = self._serving.entry_addresses()
        return json_response({'entries': addresses, 'keep_for_s': keep_for_s})

    async def models(self, request: web.Request) -> web.Response:
        """Returns the announced models in the OpenAI format.

        :param request: the HTTP request.
        """
        owner_of(request, 'caller')
        shown = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': 'geraniumrail'}
            for model in self._serving.models()
        ]
        return json_response({'object': 'list', 'data': shown})

    async def announce(self, request: web.Request) -> web.Response:
        """Takes the announcement of a backend server.

        :param request: the HTTP request.
        """
        owner_of(request, 'backend')
        body = await read_body(request, MAX_ANNOUNCE_BYTES)
        try:
            backend = msgspec.json.decode(body, type=Backend)
        except MALFORMED as error:
            raise InvalidRequestError(reason=f'announcement: {error}') from error
        _check(backend)
        return json_response({'renew_in_s': self._serving.announce(backend)})

    async def health(self, request: web.Request) -> web.Response:
        """Tells that the process runs.

        :param request: the HTTP request.
        """
        return json_response({'status': 'ok'})

    async def ready(self, request: web.Request) -> web.Response:
        """Returns whether callers should be sent here.

        :param request: the HTTP request.
        """
        if not self._serving.ready():
            raise NotRunError(reason='this entry is not ready')
        return json_response({'status': 'ready'})


def _check(backend: Backend) -> None:
    try:
        split_address(backend.address)
    except ValueError as error:
        raise InvalidRequestError(reason=f'announcement: address: {error}') from error
    try:
        codec.encode(backend)
    except OverflowError as error:
        # The report that relays it could not be sent, nor any later one.
        raise InvalidRequestError(reason=f'announcement: {error}') from error
    faults = {
        'state must be serving or leaving': backend.state not in STATES,
        f'lease_s must be in (0, {MAX_LEASE_S}]': not 0 < backend.lease_s <= MAX_LEASE_S,
        'a name is empty': not (backend.instance and backend.service and backend.version),
    }
    fault = next((reason for reason, found in faults.items() if found), None)
    if fault:
        raise InvalidRequestError(reason=f'announcement: {fault}')
