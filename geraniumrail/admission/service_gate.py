"""Lets requests of one service through to its backend servers, or keeps them waiting."""

import asyncio
import dataclasses
from collections.abc import Callable

from geraniumrail.admission.ask import Ask
from geraniumrail.admission.place import Place
from geraniumrail.admission.recent_use import RecentUse
from geraniumrail.admission.server_limits import Outlook, ServerLimits
from geraniumrail.core.clock import Clock
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.request import NotRunError

MAX_WAITING = 32
# One place of a bucket is kept for organisations that have used less than an equal part: their
# requests are too few to find a place beside those of a larger one that takes each as it accrues.
KEPT_PLACES = 1.0
# Callers come back once. They are told to do so while an answer can still be in time, since another
# entry may have a place then; and each request is admitted as if it had come back.
RETURN_SHARE = 0.25  # of the target
SHORTEST_RETRY_S = 0.03
LONGEST_RETRY_S = 1.0  # without a target
WAIT_SHARE = 0.3  # of the time of a request without a target
SHORTEST_PAUSE_S = 0.001


@dataclasses.dataclass(eq=False)
class _Waiter:
    ask: Ask
    instances: frozenset[str]
    latest: float  # the answer to a request that is sent later would be late
    future: 'asyncio.Future[Place]'


class ServiceGate:
    """Limits and waiting requests of one service at one entry.

    A request waits only while each backend server that may serve it is limited.
    """

    def __init__(self, clock: Clock, entries: Callable[[], int]) -> None:
        """Starts without limits.

        :param clock: time; its seconds are as long as those of the running loop.
        :param entries: returns the number of entries that may send to the service.
        """
        self.limits = ServerLimits(clock, entries)
        self._clock = clock
        self._use = RecentUse()
        self._waiting: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None
        self._target_s: float = 0  # the shortest of its routes

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    async def enter(self, ask: Ask, instances: frozenset[str]) -> Place:
        """Returns where the request may be sent now.

        :param ask: the request.
        :param instances: the backend servers that may serve it, at least one.
        :raises NotRunError: if no place will be free in time.
        """
        now = self._clock.now()
        if ask.target_s:
            self._target_s = min(self._target_s or ask.target_s, ask.target_s)
        self._use.asked(ask, now)
        unlimited = self.limits.unlimited(instances)
        if unlimited:
            # Limited ones are offered too: a limit ends by what their answers report.
            self.limits.refill(now)
            limited = frozenset() if self._waiting else instances - unlimited
            return Place(self, ask, unlimited | self._free(ask, limited, now))
        self._give_out(now)
        free = self._free(ask, instances, now)
        if free and not any(waiter.instances & free for waiter in self._waiting):
            return Place(self, ask, free)
        return await self._wait(ask, instances, now)

    def taken(self, ask: Ask, instance: str) -> None:
        """Counts a request that is sent.

        :param ask: the request.
        :param instance: the backend server.
        """
        now = self._clock.now()
        self._use.served(ask, now)
        self.limits.limit(instance).take(now)

    def unused(self, instance: str) -> None:
        """Takes a place back that was taken for a request that was not sent.

        :param instance: the backend server.
        """
        self.limits.limit(instance).give_back()
        self._pump(self._clock.now())

    def observe(self, instance: str, report: LoadReport) -> bool:
        """Takes the load that an answer reports. Tells whether a limit has begun or ended.

        :param instance: the backend server.
        :param report: its load.
        """
        now = self._clock.now()
        changed = self.limits.limit(instance).observe(
            report, self._target_s, self.limits.entries(), now
        )
        self._pump(now)
        return changed

    def answered(self, instance: str, seconds: float) -> None:
        """Learns from the time that an answer took.

        :param instance: the backend server.
        :param seconds: from sending to the answer.
        """
        self.limits.limit(instance).answered(seconds)

    def reject_all(self) -> None:
        """Rejects all waiting requests, since the entry stops."""
        now = self._clock.now()
        for waiter in self._ordered(now):
            self._reject(waiter, now)

    async def _wait(self, ask: Ask, instances: frozenset[str], now: float) -> Place:
        latest = min(ask.ends_at, self._latest(ask, instances, now))
        waiter = _Waiter(ask, instances, latest, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        self._shed(now)
        self._schedule(now)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                # It was let through in the moment in which its caller left.
                if waiter.future.exception() is None:
                    waiter.future.result().give_back()
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _latest(self, ask: Ask, instances: frozenset[str], now: float) -> float:
        expected_s = self.limits.expected_s(instances)
        if ask.is_repeat:
            # It has used a place already, and a late answer is worth more than none.
            return ask.ends_at - expected_s
        if not ask.target_s:
            return now + WAIT_SHARE * (ask.ends_at - now)
        return ask.due_at - RETURN_SHARE * ask.target_s - expected_s

    def _shed(self, now: float) -> None:
        """Rejects the requests for which no place will be free in time, as it looks now."""
        ahead = 0
        outlooks: dict[frozenset[str], Outlook] = {}
        for waiter in self._ordered(now):
            outlook = outlooks.get(waiter.instances)
            if outlook is None:
                outlook = self.limits.outlook(waiter.instances)
                outlooks[waiter.instances] = outlook
            wait_s = outlook.wait_s(ahead + self._kept(waiter.ask, now))
            if wait_s > waiter.latest - now or ahead >= MAX_WAITING:
                self._reject(waiter, now)
            else:
                ahead += 1

    def _pump(self, now: float) -> None:
        self._give_out(now)
        self._schedule(now)

    def _give_out(self, now: float) -> None:
        """Gives out the places that have become free."""
        self.limits.refill(now)
        if not self._waiting:
            return
        open_instances = self.limits.open_instances()
        if not open_instances and min(waiter.latest for waiter in self._waiting) >= now:
            return
        for waiter in self._ordered(now):
            if waiter.latest < now:
                self._reject(waiter, now)
                continue
            free = self._free(waiter.ask, waiter.instances & open_instances, now)
            if free:
                self._waiting.remove(waiter)
                place = Place(self, waiter.ask, free)
                place.take(self.limits.fullest_bucket(free))
                waiter.future.set_result(place)

    def _ordered(self, now: float) -> list[_Waiter]:
        # The caller of one that is done has left.
        live = (waiter for waiter in self._waiting if not waiter.future.done())
        return sorted(live, key=lambda waiter: self._use.order(waiter.ask, now))

    def _free(self, ask: Ask, instances: frozenset[str], now: float) -> frozenset[str]:
        return self.limits.free(instances, self._kept(ask, now))

    def _kept(self, ask: Ask, now: float) -> float:
        return KEPT_PLACES if self._use.is_ahead(ask, now) else 0

    def _reject(self, waiter: _Waiter, now: float) -> None:
        self._waiting.remove(waiter)
        longest_s = RETURN_SHARE * waiter.ask.target_s or LONGEST_RETRY_S
        ahead = self._kept(waiter.ask, now)
        wait_s = min(longest_s, self.limits.outlook(waiter.instances).wait_s(ahead))
        waiter.future.set_exception(
            NotRunError(
                reason='no place at a backend server in time',
                retry_after_s=max(SHORTEST_RETRY_S, wait_s),
            )
        )

    def _schedule(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiting:
            latest = min(waiter.latest for waiter in self._waiting)
            pause_s = min(self.limits.next_place_s(), latest - now) + SHORTEST_PAUSE_S
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(SHORTEST_PAUSE_S, pause_s), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._pump(self._clock.now())
