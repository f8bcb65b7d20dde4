"""Fake engines and the announcements through which entries learn of them."""

import dataclasses
import functools
import random
from collections.abc import Sequence
from typing import Protocol

from geraniumrail.bench.engine_shape import EngineShape
from geraniumrail.bench.fake_engine import FakeEngine
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.core.backend import Backend


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lag:
    """How late and how completely entries learn of engines."""

    announce_s: float = 1  # between announcements of an engine, each at a random entry
    relay_s: tuple[float, float] = (0.5, 1.5)  # until the other entries have it
    event_loss: float = 0.1  # share of announcements whose cache events are lost
    relay_events: bool = True  # False: only the entry that got the announcement has the events


class Observer(Protocol):
    """Takes in announcements; `BackendTracker` is one."""

    def observe(self, backend: Backend, now: float) -> None:
        """Takes in an announcement."""


class Fleet:
    """Engines in three data centres that announce themselves."""

    def __init__(
        self,
        count: int,
        shape: EngineShape,
        lag: Lag,
        time: VirtualTime,
        rng: random.Random,
        data_centres: int = 3,
        speeds: Sequence[float] = (1,),
    ) -> None:
        """Creates the engines.

        :param count: engines.
        :param shape: of each engine.
        :param lag: of announcements.
        :param time: event queue.
        :param rng: source of all draws.
        :param data_centres: three are in the first region; two of four are in a second one.
        :param speeds: of the engines relative to `shape`, in turn.
        """
        self._lag = lag
        self._time = time
        self._rng = rng
        self._sequence = 0
        self.engines_by_name = {
            f'e{number:03}': FakeEngine(
                f'e{number:03}', shape.scaled(speeds[number % len(speeds)]), time
            )
            for number in range(count)
        }
        self.backends = tuple(
            Backend(
                instance=name,
                service='bench',
                address=name,
                data_centre=f'dc{number % data_centres}',
                region=f'region{number % data_centres // 2 if data_centres > 3 else 0}',
                version='v1',
                models=('m',),
                load=engine.report(),
            )
            for number, (name, engine) in enumerate(self.engines_by_name.items())
        )

    @property
    def names(self) -> tuple[str, ...]:
        """Instances."""
        return tuple(self.engines_by_name)

    def announce_to(self, views: Sequence[Observer]) -> None:
        """Schedules all announcements.

        :param views: knowledge of each entry.
        """
        for backend in self.backends:
            start = self._rng.uniform(0, self._lag.announce_s)
            self._time.after(start, functools.partial(self._announce, backend, views))

    def _announce(self, backend: Backend, views: Sequence[Observer]) -> None:
        engine = self.engines_by_name[backend.instance]
        self._sequence += 1
        events = engine.cache.take_events()
        lost = self._rng.random() < self._lag.event_loss
        announced = dataclasses.replace(
            backend,
            sequence=self._sequence,
            load=engine.report(),
            cache_events=() if lost else events,
        )
        direct = self._rng.randrange(len(views))
        relayed = announced
        if not self._lag.relay_events:
            relayed = dataclasses.replace(announced, cache_events=())
        for number, view in enumerate(views):
            near = number == direct
            late_s = 0.001 if near else self._rng.uniform(*self._lag.relay_s)
            sent = announced if near else relayed
            self._time.after(late_s, functools.partial(self._deliver, sent, view, late_s))
        again = functools.partial(self._announce, backend, views)
        self._time.after(self._lag.announce_s, again)

    def _deliver(self, announced: Backend, view: Observer, late_s: float) -> None:
        load = dataclasses.replace(announced.load, age_s=late_s)
        view.observe(dataclasses.replace(announced, load=load), self._time.now)
