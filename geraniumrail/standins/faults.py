"""Fault switches that tests set over HTTP."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from geraniumrail.core import events
from geraniumrail.standins.events import FAULT_SET


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One switch; unset conditions always hold."""

    mode: str
    share: float = 1  # of the requests that meet the conditions
    factor: float = 1  # for `slow`
    route: str = ''  # prefix of the path, or the exact `X-Route` header or `route` field
    above_running: int = -1  # only while more requests than this are running
    after_tokens: int = 0  # tokens sent before the fault
    after_s: float = 0  # from when the fault was set
    delay_s: float = 0  # for `delay` and `late`
    how: str = ''  # variant of the mode
    times: int = -1  # hits before it switches itself off; -1 for no limit


class Faults:
    """The switches of one server, by mode."""

    def __init__(self, rng: random.Random) -> None:
        """Starts with every switch off.

        :param rng: decides which requests of a share are hit.
        """
        self._silenced: frozenset[object] = frozenset()
        self._cleared = asyncio.Event()
        self._rng = rng
        self._faults_by_mode: dict[str, Fault] = {}
        self._since_by_mode: dict[str, float] = {}
        self._hits_by_mode: dict[str, int] = {}

    def switch(self, fields: Mapping[str, Any]) -> Fault:
        """Sets a fault; mode `none` clears all.

        :param fields: the fields of `Fault`.
        :raises msgspec.ValidationError: if a field has the wrong type.
        """
        fault = msgspec.convert(fields, Fault)
        events.log(FAULT_SET, **dict(fields))
        if fault.mode == 'none':
            self._faults_by_mode.clear()
            self._silenced = frozenset()
            self._cleared.set()
            return fault
        self._faults_by_mode[fault.mode] = fault
        self._since_by_mode[fault.mode] = time.monotonic()
        self._hits_by_mode[fault.mode] = 0
        return fault

    def hit(self, mode: str, routes: tuple[str, ...] = (), running: int = 0) -> Fault | None:
        """Draws whether a request is hit by a fault.

        :param mode: name of the fault.
        :param routes: path and route names of the request.
        :param running: requests running now.
        """
        fault = self._faults_by_mode.get(mode)
        if fault is None or not self._holds(fault, routes, running):
            return None
        if fault.share < 1 and self._rng.random() >= fault.share:
            return None
        self._hits_by_mode[mode] += 1
        return fault

    def hits(self, mode: str) -> int:
        """Returns how many requests were hit by a fault."""
        return self._hits_by_mode.get(mode, 0)

    def silence(self, connections: Iterable[object]) -> None:
        """Lets open connections go silent until the faults are cleared.

        :param connections: the connections; later ones work.
        """
        self._silenced = frozenset(connections)
        self._cleared.clear()

    async def obey_silence(self, connection: object) -> None:
        """Waits while the connection is silent."""
        if connection in self._silenced:
            await self._cleared.wait()

    def _holds(self, fault: Fault, routes: tuple[str, ...], running: int) -> bool:
        if 0 <= fault.times <= self._hits_by_mode[fault.mode]:
            return False
        if time.monotonic() - self._since_by_mode[fault.mode] < fault.after_s:
            return False
        if running <= fault.above_running:
            return False
        return not fault.route or any(route.startswith(fault.route) for route in routes)
