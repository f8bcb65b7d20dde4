"""Completions and their cancellation at the stand-in engine."""

import contextlib

from aiohttp import web

from geraniumrail.standins.batch import Batch
from geraniumrail.standins.completion_format import CompletionFormat
from geraniumrail.standins.departure import Departure
from geraniumrail.standins.faults import Faults
from geraniumrail.standins.orders import Orders
from geraniumrail.standins.replies import error_reply, json_reply, read_json
from geraniumrail.standins.token_stream import TokenStream
from geraniumrail.standins.work import Work


class CompletionRoutes:
    """Handlers of completions."""

    def __init__(self, batch: Batch, orders: Orders, faults: Faults, departure: Departure) -> None:
        """Creates the handlers.

        :param batch: computes the tokens.
        :param orders: knows the version and models loaded.
        :param faults: switches.
        :param departure: whether the engine is leaving.
        """
        self._batch = batch
        self._orders = orders
        self._faults = faults
        self._departure = departure

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Returns the routes."""
        return (
            web.post('/v1/chat/completions', self._complete),
            web.post('/v1/completions', self._complete),
            web.post('/v1/cancel', self._cancel),
            web.get('/v1/models', self._models),
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await read_json(request)
        route = request.headers.get('X-Route') or str(body.get('route', ''))
        routes = (request.path, route)
        refusal = self._refusal(routes)
        if refusal is not None:
            return refusal
        work = Work.from_body(
            body,
            version=self._orders.version,
            route=route,
            leaving=self._departure.leaving,
            number=len(self._batch.works),
        )
        if work.model not in {'', *self._orders.models, *self._orders.adapters}:
            return error_reply(404, 'unknown_model', f'{work.model} is not loaded')
        slow = self._faults.hit('slow', routes, self._batch.running)
        factor = slow.factor if slow else 1
        shape = CompletionFormat('messages' in body, work)
        if body.get('stream'):
            usage = bool((body.get('stream_options') or {}).get('include_usage'))
            stream = TokenStream(request, shape, self._faults, routes)
            with contextlib.suppress(ConnectionError):
                return await stream.run(self._batch, factor, usage=usage)
            return web.Response(status=500)
        tokens = [token async for _, token in self._batch.tokens(work, factor)]
        return json_reply(shape.whole(''.join(tokens)))

    def _refusal(self, routes: tuple[str, ...]) -> web.Response | None:
        running = self._batch.running
        if self._faults.hit('refuse', routes, running):
            return error_reply(503, 'overloaded', 'the engine takes no more work')
        if self._faults.hit('fail', routes, running):
            return error_reply(500, 'engine_failed', 'the engine failed')
        return None

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        work = self._batch.find(body['request_id'], int(body['attempt']))
        if work is not None:
            work.finish('cancelled')
        return json_reply({'cancelled': work is not None})

    async def _models(self, request: web.Request) -> web.Response:
        names = (*self._orders.models, *self._orders.adapters)
        return json_reply(
            {'object': 'list', 'data': [{'id': name, 'object': 'model'} for name in names]}
        )
