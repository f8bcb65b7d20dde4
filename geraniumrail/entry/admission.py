"""Decides when a completion goes to an engine: fair queue, short engine queues, shedding."""

import asyncio
from collections.abc import Callable

from geraniumrail.core.clock import Clock
from geraniumrail.errors.backend import NoBackendError
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.fair_queue import FairQueue
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.shedder import Shedder
from geraniumrail.fairness.traffic_classes import RULES_BY_CLASS
from geraniumrail.routing.decision import Decision

# How many organisations and classes may be passed over for one grant: the first in the queue may
# need a version or an adapter whose engines are full while other engines are free.
MAX_HEADS = 8

Chooser = Callable[[EngineWindow], Decision]
_Waiting = tuple[Chooser, 'asyncio.Future[Decision]']


class Admission:
    """One queue, for one service and model; grants a turn together with the chosen engine."""

    def __init__(
        self,
        service: str,
        window: EngineWindow,
        clock: Clock,
        engines: Callable[[], list[str]],
    ) -> None:
        """Connects the parts.

        :param service: name of the service.
        :param window: requests in flight at each engine, shared by the queues of a service.
        :param clock: time.
        :param engines: returns the instances that may get work.
        """
        self.queue = FairQueue()
        self.window = window
        self._shedder = Shedder()
        self._service = service
        self._clock = clock
        self._engines = engines
        self._waiting_by_id: dict[str, _Waiting] = {}

    async def turn(self, item: QueueItem, choose: Chooser, limit_s: float) -> Decision:
        """Waits for the item's turn and returns the chosen engine; `release` must follow.

        :param item: the request in the queue.
        :param choose: chooses among the engines whose window has room.
        :param limit_s: longest wait, in seconds.
        :raises OverloadedError: if the request is shed; never if it is resumed.
        :raises NoBackendError: if no engine had room in time.
        """
        now = self._clock.now()
        if self.queue.depth() and not item.resumed:
            self._shedder.check(item, self.queue)
        self.queue.push(item, now)
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._waiting_by_id[item.item_id] = (choose, future)
        self.pump()
        try:
            async with asyncio.timeout(limit_s):
                return await future
        except (TimeoutError, asyncio.CancelledError) as error:
            self._abandon(item, future)
            if isinstance(error, TimeoutError):
                raise NoBackendError(service=self._service) from error
            raise

    def release(self, item: QueueItem, engine: str, tokens: float) -> None:
        """Ends a turn and grants the next.

        :param item: the request in the queue.
        :param engine: instance that had the request.
        :param tokens: tokens that it took there.
        """
        now = self._clock.now()
        self.queue.finish(item.item_id, tokens, now)
        self.window.record_finished(engine, item.traffic_class)
        self.pump()

    def pump(self) -> None:
        """Grants turns while engines have room."""
        granted = True
        while granted:
            granted = any(self._grant(item) for item in self._heads())

    def _heads(self) -> list[QueueItem]:
        """Returns the next items of the classes for which an engine has room."""
        engines = self._engines()
        classes = [
            name
            for name in RULES_BY_CLASS
            if any(self.window.allows(engine, name) for engine in engines)
        ]
        reserve_only = self.window.reserve_only(engines)
        heads = self.queue.heads(self._clock.now(), classes, reserve_only=reserve_only)
        return heads[:MAX_HEADS]

    def _grant(self, item: QueueItem) -> bool:
        choose, future = self._waiting_by_id[item.item_id]
        if future.done():  # cancelled; its task has not run since
            self._waiting_by_id.pop(item.item_id)
            return self.queue.remove(item.item_id)
        try:
            decision = choose(self.window)
        except NoBackendError:
            return False
        self.queue.dispatch(item)
        self._waiting_by_id.pop(item.item_id)
        self._shedder.dispatch_rate.record(item.tokens, self.queue.depth(), self._clock.now())
        self.window.record_sent(decision.backend.instance, item.traffic_class)
        future.set_result(decision)
        return True

    def _abandon(self, item: QueueItem, future: 'asyncio.Future[Decision]') -> None:
        """Ends the wait of a request, or gives back a turn that came at the same moment."""
        if future.done() and not future.cancelled():
            self.release(item, future.result().backend.instance, 0)
            return
        self._waiting_by_id.pop(item.item_id, None)
        self.queue.remove(item.item_id)
