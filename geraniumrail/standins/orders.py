"""Orders at the stand-in engine, with or without fencing."""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Mapping
from typing import Any

from geraniumrail.core import events
from geraniumrail.standins.events import ORDER_REFUSED

_JOURNAL_LIMIT = 10_000
_KINDS = frozenset(('load_version', 'load_model', 'load_adapter', 'unload', 'set_role'))


class UnknownOrderError(ValueError):
    """The kind of the order is not known."""


@dataclasses.dataclass(frozen=True)
class OrderEntry:
    """One order in the journal."""

    term: int
    number: int
    kind: str
    name: str
    outcome: str  # accepted | repeated | stale_order
    at: float  # wall clock, in seconds


class Orders:
    """What is loaded at an engine, changed by orders."""

    def __init__(self, version: str, models: tuple[str, ...], *, fencing: bool) -> None:
        """Starts with the version and models of the command line.

        :param version: version of the weights.
        :param models: models served.
        :param fencing: refuse an order older than the newest seen.
        """
        self.version = version
        self.models = models
        self.adapters: tuple[str, ...] = ()
        self.role = 'serve'
        self.newest = (0, 0)
        self.entries: collections.deque[OrderEntry] = collections.deque(maxlen=_JOURNAL_LIMIT)
        self._fencing = fencing

    def take(self, order: Mapping[str, Any]) -> OrderEntry:
        """Journals an order and decides whether it is carried out.

        :param order: `term`, `number`, `kind` and `name`.
        :raises UnknownOrderError: if the kind is not known.
        """
        if order.get('kind') not in _KINDS:
            raise UnknownOrderError(order.get('kind'))
        fence = (int(order['term']), int(order['number']))
        outcome = 'accepted'
        if self._fencing and fence <= self.newest:
            outcome = 'repeated' if fence == self.newest else 'stale_order'
        if outcome == 'stale_order':
            events.log(ORDER_REFUSED, fence=fence, newest=self.newest)
        self.newest = max(self.newest, fence)
        entry = OrderEntry(*fence, order['kind'], str(order.get('name', '')), outcome, time.time())
        self.entries.append(entry)
        return entry

    async def carry_out(self, entry: OrderEntry, load_s: float) -> None:
        """Loads or unloads.

        :param entry: an accepted order.
        :param load_s: time that loading takes, in seconds.
        """
        if entry.kind.startswith('load'):
            await asyncio.sleep(load_s)
        match entry.kind:
            case 'load_version':
                self.version = entry.name
            case 'load_model':
                self.models = _with(self.models, entry.name)
            case 'load_adapter':
                self.adapters = _with(self.adapters, entry.name)
            case 'unload':
                self.models = _without(self.models, entry.name)
                self.adapters = _without(self.adapters, entry.name)
            case 'set_role':
                self.role = entry.name


def _with(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return names if name in names else (*names, name)


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(kept for kept in names if kept != name)
