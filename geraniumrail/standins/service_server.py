"""The stand-in application service."""

import argparse
import asyncio
import dataclasses
import itertools
import os
import random
import time
import zlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from aiohttp import web

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.standins.announcer import Announcer
from geraniumrail.standins.bookings import Bookings, Run
from geraniumrail.standins.departure import Departure
from geraniumrail.standins.faults import Faults
from geraniumrail.standins.ledger import Ledger
from geraniumrail.standins.load_history import LoadHistory
from geraniumrail.standins.process import Serving
from geraniumrail.standins.replies import error_reply, json_reply, read_json
from geraniumrail.standins.server_routes import ServerRoutes
from geraniumrail.standins.service_answers import ServiceAnswers
from geraniumrail.standins.tasks import Tasks

_SAMPLE_S = 0.1
_MS = 0.001
_EXIT_CODE = 70
_STOCK_LIMIT = 100


class Service:
    """One plain service: bookings and orders run once for each request, stock is read only."""

    def __init__(self, args: argparse.Namespace) -> None:
        """Creates the service; `start` binds it.

        :param args: options of `service.parser`.
        """
        self.args = args
        self.faults = Faults(random.Random(args.seed))
        self.departure = Departure(args.notice_s, args.idle_exit_s)
        self.bookings = Bookings(args.work_ms * _MS, Ledger(args.ledger))
        self._answers = ServiceAnswers(self.faults)
        self._busy = 0
        self._numbers = itertools.count(1)
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
        self.serving = await Serving.bind(self._application(), self.args.listen)
        self._tasks.spawn(self._announcer.run())
        return self.serving

    def leave(self, notice_s: float | None = None) -> None:
        """Announces the departure and stops when the work is done.

        :param notice_s: time until the instance is taken away, in seconds.
        """
        self.departure.begin(self._announcer.hurry, lambda: self._busy, notice_s)

    def describe(self) -> Backend:
        """Returns the announcement."""
        return Backend(
            instance=self.args.instance,
            service=self.args.service,
            address=self.args.advertise or self.serving.address,
            data_centre=self.args.data_centre,
            region=self.args.region,
            version=self.args.version,
            kind='plain',
            state='leaving' if self.departure.leaving else 'serving',
            lease_s=self.args.lease_s,
            load=self._history.visible(self._load()),
        )

    def _load(self) -> LoadReport:
        return LoadReport(running=self._busy, slots=self.args.slots)

    def _application(self) -> web.Application:
        shared = ServerRoutes(
            self.faults, self.departure, lambda: self.serving.connections(), self.leave
        )
        application = web.Application(middlewares=[shared.silence, self._count])
        application.cleanup_ctx.append(self._background)
        application.add_routes(shared.routes())
        application.add_routes(
            (
                web.post('/{kind:bookings|orders}', self._book),
                web.get('/stock/{item}', self._stock),
                web.get('/outcomes/{key}', self._outcome),
                web.get('/journal', self._journal),
            )
        )
        return application

    async def _background(self, application: web.Application) -> AsyncIterator[None]:
        self._tasks.spawn(self._sample())
        yield
        await self._tasks.cancel()
        self.bookings.ledger.close()

    async def _sample(self) -> None:
        while True:
            self._history.add(self._load())
            await asyncio.sleep(_SAMPLE_S)

    @web.middleware
    async def _count(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self._busy += 1
        try:
            return await handler(request)
        except ConnectionError:
            return web.Response(status=500)  # a fault has closed the connection
        finally:
            self._busy -= 1

    async def _book(self, request: web.Request) -> web.StreamResponse:
        body = await read_json(request)
        route = request.path
        for refusal in ('refuse', 'refuse_unmarked'):
            if self.faults.hit(refusal, (route,), self._busy):
                return _refused(marked=refusal == 'refuse')
        delay = self.faults.hit('delay', (route,), self._busy)
        await asyncio.sleep(delay.delay_s if delay else 0)
        self._die('die_before', request)
        run, repeated = self._run_of(request, body)
        if not repeated:
            slow = self.faults.hit('slow', (route,), self._busy)
            # The run is a task of its own, so that it goes on after the caller has disconnected.
            self._tasks.spawn(self.bookings.run(run, slow.factor if slow else 1))
        await self.bookings.wait(run)
        self._die('die_after', request)
        return await self._answers.send(request, run.answer(), 201)

    def _run_of(self, request: web.Request, body: object) -> tuple[Run, bool]:
        number = next(self._numbers)
        key = request.headers.get('Idempotency-Key', f'unkeyed-{number}')
        known = self.bookings.find(key)
        if self.args.dedupe and known is not None:
            return known, True
        run = Run(
            number=number,
            kind=request.match_info['kind'],
            key=key,
            attempt=request.headers.get('X-Attempt', ''),
            request_id=request.headers.get('X-Request-Id', ''),
            body=body,
            version=self.args.version,
            leaving=self.departure.leaving,
        )
        return run, False

    def _die(self, mode: str, request: web.Request) -> None:
        fault = self.faults.hit(mode, (request.path,), self._busy)
        if fault is None:
            return
        if fault.how == 'exit':
            os._exit(_EXIT_CODE)  # noqa: WPS437 - the fault is an exit without any cleanup
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError(mode)

    async def _stock(self, request: web.Request) -> web.StreamResponse:
        started = time.monotonic()
        if self.faults.hit('fail', (request.path,), self._busy):
            return error_reply(500, 'service_failed', 'the service failed')
        slow = self.faults.hit('slow', (request.path,), self._busy)
        await asyncio.sleep(self.args.read_ms * _MS * (slow.factor if slow else 1))
        item = request.match_info['item']
        body = {'item': item, 'count': stock_of(item), 'version': self.args.version}
        elapsed_ms = round((time.monotonic() - started) / _MS, 1)
        return await self._answers.send(request, {**body, 'elapsed_ms': elapsed_ms}, 200)

    async def _outcome(self, request: web.Request) -> web.Response:
        if not self.args.outcomes:
            return error_reply(405, 'no_outcomes', 'this service does not report outcomes')
        found = self.bookings.ledger.find(request.match_info['key'])
        if found is None:
            return error_reply(404, 'never_ran', 'the key never ran here')
        state, answer = found
        if state == 'running':
            return error_reply(409, 'still_running', 'the key is running')
        return web.Response(body=answer, content_type='application/json')

    async def _journal(self, request: web.Request) -> web.Response:
        runs = [dataclasses.asdict(run) for run in tuple(self.bookings.runs)]
        return json_reply({'runs': runs, 'leaving_at': self.departure.leaving_at})


def stock_of(item: str) -> int:
    """Returns the stock of an item, a pure function of its name."""
    return zlib.crc32(item.encode()) % _STOCK_LIMIT


def _refused(*, marked: bool) -> web.Response:
    reply = error_reply(503, 'overloaded', 'the service takes no more work')
    if marked:
        reply.headers['X-Not-Run'] = 'true'
    return reply
