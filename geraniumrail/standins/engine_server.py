"""The stand-in engine: a batch behind an HTTP front."""

import argparse
import asyncio
import dataclasses
import random
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from geraniumrail.core.backend import Backend
from geraniumrail.standins.announcer import Announcer
from geraniumrail.standins.batch import Batch, Speed
from geraniumrail.standins.completion_routes import CompletionRoutes
from geraniumrail.standins.departure import Departure
from geraniumrail.standins.faults import Faults
from geraniumrail.standins.kv_routes import KvRoutes
from geraniumrail.standins.kv_store import KvStore
from geraniumrail.standins.load_history import LoadHistory
from geraniumrail.standins.orders import OrderEntry, Orders, UnknownOrderError
from geraniumrail.standins.prefix_cache import PrefixCache
from geraniumrail.standins.process import Serving
from geraniumrail.standins.replies import error_reply, json_reply, read_json
from geraniumrail.standins.server_routes import ServerRoutes
from geraniumrail.standins.slots import Slots
from geraniumrail.standins.tasks import Tasks

_SAMPLE_S = 0.1
_MS = 0.001
_BODY_LIMIT_BYTES = 32 * 1024 * 1024


class Engine:
    """One engine."""

    def __init__(self, args: argparse.Namespace) -> None:
        """Creates the engine; `start` binds it.

        :param args: options of `engine.parser`.
        """
        rng = random.Random(args.seed)
        self.args = args
        self.faults = Faults(rng)
        self.departure = Departure(args.notice_s, args.idle_exit_s)
        self.orders = Orders(args.version, tuple(args.models), fencing=args.fencing == 'enforced')
        self._cache = PrefixCache(args.cache_blocks, args.cache_lag_s, args.cache_gaps, rng)
        self._kv_store = KvStore(args.instance)
        self._batch = Batch(_speed(args), Slots(args.slots), self._cache, self._kv_store)
        self._history = LoadHistory(args.report_lag_s)
        self._announcer = Announcer(
            tuple(args.announce), args.key, self.describe, to_all=args.announce_to == 'all'
        )
        self._tasks = Tasks()
        self.serving: Serving

    async def start(self) -> Serving:
        """Binds and starts to announce."""
        for fault in self.args.fault:
            self.faults.switch(msgspec.json.decode(fault))
        self.serving = await Serving.bind(
            self._application(), self.args.listen, cancel_handlers=True
        )
        self._tasks.spawn(self._announcer.run())
        return self.serving

    def leave(self, notice_s: float | None = None) -> None:
        """Announces the departure and stops when the work is done.

        :param notice_s: time until the instance is taken away, in seconds.
        """
        self.departure.begin(self._announcer.hurry, lambda: self._batch.busy, notice_s)

    def describe(self) -> Backend:
        """Returns the announcement."""
        return Backend(
            instance=self.args.instance,
            service=self.args.service,
            address=self.args.advertise or self.serving.address,
            data_centre=self.args.data_centre,
            region=self.args.region,
            version=self.orders.version,
            models=self.orders.models,
            adapters=self.orders.adapters,
            state='leaving' if self.departure.leaving else 'serving',
            lease_s=self.args.lease_s,
            load=self._history.visible(self._batch.load()),
            cache_events=self._cache.publish(),
        )

    def _application(self) -> web.Application:
        shared = ServerRoutes(
            self.faults, self.departure, lambda: self.serving.connections(), self.leave
        )
        completions = CompletionRoutes(self._batch, self.orders, self.faults, self.departure)
        blocks = KvRoutes(self._batch, self._kv_store, self.args.kv_token_ms * _MS)
        application = web.Application(
            middlewares=[shared.silence], client_max_size=_BODY_LIMIT_BYTES
        )
        application.cleanup_ctx.append(self._background)
        application.add_routes((*shared.routes(), *completions.routes(), *blocks.routes()))
        application.add_routes(
            (
                web.post('/v1/orders', self._order),
                web.get('/v1/load', self._load),
                web.get('/v1/journal', self._journal),
            )
        )
        return application

    async def _background(self, application: web.Application) -> AsyncIterator[None]:
        self._tasks.spawn(self._sample())
        yield
        await self._tasks.cancel()

    async def _sample(self) -> None:
        while True:
            self._history.add(self._batch.load())
            await asyncio.sleep(_SAMPLE_S)

    async def _order(self, request: web.Request) -> web.Response:
        try:
            entry = self.orders.take(await read_json(request))
        except UnknownOrderError as error:
            return error_reply(400, 'unknown_order', f'unknown kind of order {error}')
        if entry.outcome == 'stale_order':
            term, number = self.orders.newest
            newest = {'newest_term': term, 'newest_number': number}
            return error_reply(409, 'stale_order', 'a newer order was seen', newest)
        if entry.outcome == 'accepted':
            self._tasks.spawn(self._carry_out(entry))
        return json_reply({'outcome': entry.outcome})

    async def _carry_out(self, entry: OrderEntry) -> None:
        await self.orders.carry_out(entry, self.args.load_s)
        self._announcer.hurry()

    async def _load(self, request: web.Request) -> web.Response:
        return json_reply(dataclasses.asdict(self._history.visible(self._batch.load())))

    async def _journal(self, request: web.Request) -> web.Response:
        requests = [dataclasses.asdict(work) for work in tuple(self._batch.works)]
        orders = [dataclasses.asdict(entry) for entry in tuple(self.orders.entries)]
        leaving_at = self.departure.leaving_at
        return json_reply({'requests': requests, 'orders': orders, 'leaving_at': leaving_at})


def _speed(args: argparse.Namespace) -> Speed:
    return Speed(
        first_token_ms=args.first_token_ms,
        token_ms=args.token_ms,
        batch_slowdown=args.batch_slowdown,
        recompute_ms=args.recompute_ms,
    )
