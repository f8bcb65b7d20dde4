"""A service under traffic during a version move: engines, routes, organisations and faults."""

import dataclasses
import heapq
import math
import random
import statistics

from geraniumrail.rollout.load_band import load_band

OLD, NEW = 'v1', 'v2'
SLOTS = 4
_CENTRES = 3
# Route: share of requests, prompt seconds, answer tokens.
ROUTES = (('chat', 0.5, 0.12, 60), ('quick', 0.35, 0.18, 120), ('review', 0.15, 0.6, 400))
ORGANISATIONS = (('large', 0.6, 1.3), ('medium', 0.25, 1), ('small', 0.15, 0.8))
_BETWEEN_S = 0.03
_BASE_ERROR_RATE = 0.003
_WAVE_ERROR_RATE = 0.05
_RESUME_S = 1.5
_LOAD_ERROR = 0.1  # of the load that an entry knows, because reports lag


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What happens during one move."""

    kind: str
    engines: int
    seed: int
    requests_per_s: float
    onset_s: float = 0  # of the fault
    error_rate: float = 0
    slowdown: float = 1
    fault_route: str = ''
    fault_load: float = 0  # share of busy slots from which the fault shows
    surge: tuple[float, float, float] = (0, 0, 1)  # from, to, factor
    wave: tuple[float, float, int] = (0, 0, 0)  # from, to, data centre

    @property
    def faulty(self) -> bool:
        """Returns whether the new version has a fault."""
        return self.error_rate > 0 or self.slowdown > 1


@dataclasses.dataclass(frozen=True)
class Answer:
    """Outcome of one request, known when it is sent in the simulation."""

    version: str
    route: str
    organisation: str
    first_at: float
    first_s: float
    end_at: float
    between_s: float
    failed: bool
    faulty: bool  # the fault of the new version shows in it
    band: int = 0


class _Engine:
    def __init__(self, centre: int) -> None:
        self.centre = centre
        self.free_at = [0 for _ in range(SLOTS)]

    def running(self, now: float) -> int:
        return len([at for at in self.free_at if at > now])


class Service:
    """Engines of both versions; requests go to the engine with the shortest wait."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        """Creates idle engines.

        :param scenario: the move.
        :param rng: source of chance.
        """
        self._scenario = scenario
        self._rng = rng
        self._engines = {
            version: [_Engine(number % _CENTRES) for number in range(scenario.engines)]
            for version in (OLD, NEW)
        }

    def rate(self, now: float) -> float:
        """Returns requests per second.

        :param now: seconds since the start of the move.
        """
        since, until, factor = self._scenario.surge
        return self._scenario.requests_per_s * (factor if since <= now < until else 1)

    def draw_route(self) -> str:
        """Returns the route of the next request."""
        return self._rng.choices(ROUTES, [one[1] for one in ROUTES])[0][0]

    def send(self, version: str, route: str, share: float, now: float) -> Answer:
        """Sends a request of a random organisation.

        :param version: version that the entry has chosen.
        :param route: name of the route.
        :param share: share of the new version, which decides the engines of each version.
        :param now: seconds since the start of the move.
        """
        engines = self._usable(version, share, now)
        if not engines:
            version = OLD if version == NEW else NEW
            engines = self._usable(version, share, now)
        engine = min(engines, key=lambda one: (max(now, one.free_at[0]), one.running(now)))
        load = engine.running(now) / SLOTS
        seen = statistics.fmean(one.running(now) for one in engines) / SLOTS
        seen += self._rng.uniform(-_LOAD_ERROR, _LOAD_ERROR)
        shows = version == NEW and self._fault_shows(route, load, now)
        answer = self._answer(version, route, (now, max(now, engine.free_at[0]), load), shows)
        answer = dataclasses.replace(answer, band=load_band(int(seen * 100), 0, 100))
        if engine.centre == self._scenario.wave[2]:
            answer = self._interrupted(answer, now)
        heapq.heapreplace(engine.free_at, answer.end_at)
        return answer

    def _answer(
        self, version: str, route: str, timing: tuple[float, float, float], shows: bool
    ) -> Answer:
        prompt_s, tokens = next(one[2:] for one in ROUTES if one[0] == route)
        organisation, length = self._draw_organisation()
        slowness = (1 + 0.3 * timing[2]) * (self._scenario.slowdown if shows else 1)
        first_at = timing[1] + prompt_s * length * slowness * self._rng.lognormvariate(0, 0.25)
        between_s = _BETWEEN_S * slowness * self._rng.lognormvariate(0, 0.1)
        broken = shows and self._rng.random() < self._scenario.error_rate
        failed = broken or self._rng.random() < _BASE_ERROR_RATE
        answer_s = 0 if failed else between_s * tokens * length * self._rng.uniform(0.5, 1.5)
        return Answer(
            version=version,
            route=route,
            organisation=organisation,
            first_at=first_at,
            first_s=first_at - timing[0],
            end_at=first_at + answer_s,
            between_s=between_s,
            failed=failed,
            faulty=broken or (shows and self._scenario.slowdown > 1),
        )

    def _draw_organisation(self) -> tuple[str, float]:
        name, _, length = self._rng.choices(ORGANISATIONS, [one[1] for one in ORGANISATIONS])[0]
        return name, length

    def _interrupted(self, answer: Answer, now: float) -> Answer:
        """Resumes an answer elsewhere if its engine is lost before the end."""
        lost_at = self._scenario.wave[0]
        if not now < lost_at < answer.end_at:
            return answer
        delay = _RESUME_S if answer.first_at > lost_at else 0
        return dataclasses.replace(
            answer,
            failed=answer.failed or self._rng.random() < _WAVE_ERROR_RATE,
            first_at=answer.first_at + delay,
            first_s=answer.first_s + delay,
            end_at=answer.end_at + _RESUME_S,
        )

    def _usable(self, version: str, share: float, now: float) -> list[_Engine]:
        part = share if version == NEW else 1 - share
        count = max(1, math.ceil(part * self._scenario.engines))
        since, until, centre = self._scenario.wave
        lost = centre if since <= now < until else -1
        return [one for one in self._engines[version][:count] if one.centre != lost]

    def _fault_shows(self, route: str, load: float, now: float) -> bool:
        scenario = self._scenario
        return (
            scenario.faulty
            and now >= scenario.onset_s
            and load >= scenario.fault_load
            and scenario.fault_route in {'', route}
        )
