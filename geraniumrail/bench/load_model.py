"""Entries that drive the routing and fairness modules over fake engines in virtual time."""

import functools
import random
from collections.abc import Callable, Sequence

from geraniumrail.bench.fleet import Fleet
from geraniumrail.bench.job import Job
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.core.backend import Backend
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.request import LanguageRequest, RouteRequest

Choose = Callable[
    [Sequence[Backend], RouteRequest, BackendTracker, random.Random, float],
    Decision,
]
FIRST_TOKEN_S = 0.51
NETWORK_S = 0.001
# Entries do not know the length of an answer; they expect the mean.
EXPECTED_ANSWER_TOKENS = 150


class DirectEntry:
    """Sends each job at once to the chosen engine, with its own stale view."""

    def __init__(self, number: int, choose: Choose, fleet: Fleet, time: VirtualTime, seed: int):
        """Starts without knowledge.

        :param number: of the entry.
        :param choose: routing choice to drive.
        :param fleet: engines.
        :param time: event queue.
        :param seed: of this entry's draws.
        """
        self.knowledge = BackendTracker()
        self._data_centre = f'dc{number % 3}'
        self._region = 'region0'
        self._choose = choose
        self._fleet = fleet
        self._time = time
        self._rng = random.Random(seed * 1009 + number)

    def observe(self, backend: Backend, now: float) -> None:
        """Takes in an announcement.

        :param backend: announced.
        :param now: seconds.
        """
        self.knowledge.observe(backend, now)

    def submit(self, job: Job) -> None:
        """Takes a job.

        :param job: request.
        """
        self._send(job, self._fleet.backends)

    def _send(self, job: Job, candidates: Sequence[Backend]) -> str:
        request = LanguageRequest(
            request_id=job.job_id,
            service='bench',
            model='m',
            data_centre=self._data_centre,
            region=self._region,
            prefixes=job.prefixes,
            prompt_tokens=job.prompt_tokens,
            expected_answer_tokens=EXPECTED_ANSWER_TOKENS,
            traffic_class=job.traffic_class,
        )
        now = self._time.now
        chosen = self._choose(candidates, request, self.knowledge, self._rng, now)
        name = chosen.backend.instance
        tokens = job.prompt_tokens + EXPECTED_ANSWER_TOKENS
        self.knowledge.record_sent(name, tokens, job.prefixes, now)
        job.sent_at = now

        engine = self._fleet.engines_by_name[name]
        first = functools.partial(self._first, name)
        last = functools.partial(self._last, name, tokens)
        self._time.after(NETWORK_S, lambda: engine.submit(job, first, last))
        return name

    def _first(self, name: str, job: Job) -> None:
        job.first_token_at = self._time.now + NETWORK_S
        self._on_first(name, job)

    def _last(self, name: str, tokens: int, job: Job) -> None:
        job.finished_at = self._time.now
        self.knowledge.record_finished(name, tokens, self._time.now)
        self._on_finished(name, job)

    def _on_first(self, name: str, job: Job) -> None:
        """Called at the first token."""

    def _on_finished(self, name: str, job: Job) -> None:
        """Called at the last token."""
