"""Seeded schedules of lost engines under streams, in simulated time."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
from collections.abc import AsyncIterator

from geraniumrail.backends.chunk import Chunk
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.core.backend import Backend
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.completion_run import CompletionRun
from geraniumrail.entry.completions import Completions, Place
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.errors.backend import ConnectionLostError, NotSentError, StalledError
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.retry_budget import RetryBudget, RetryLimit
from geraniumrail.links.messages import ControlUpdate
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.settings.node import Node
from geraniumrail.settings.tree import Tree
from geraniumrail.standins.answer import digest, expected_text, token

SERVICE = 'model-bench'
ROUTES = ('chat', 'quick', 'review')
LEASE_S = 3600  # longer than a schedule; without one nothing is sent again
LOST_SHARE = 0.4
NOTICE_S = 2.0
END_S = 200.0
RENEW_S = 2.0
CHUNK_S = (0.05, 0.2)
MAX_CHUNK_TOKENS = 4
TRAFFIC_S = 6.0
GONE_SHARE = 0.1  # of the callers, which leave before they have the answer
SETTINGS = {
    '/': {'queue_limit': 6, 'retry_budget': 0.05},
    **{f'/*/{SERVICE}/{route}': {'traffic_class': route} for route in ROUTES},
}


class ScheduleFailedError(GeraniumrailError):
    """A guarantee does not hold in the history of a schedule."""

    type_name = 'schedule_failed'
    template = 'seed {seed}: {reason}'


@dataclasses.dataclass
class SimulatedEngine:
    """Where a stream comes from; `state` is serving, frozen or dead."""

    instance: str
    leaving: bool = False
    state: str = 'serving'

    def announcement(self, sequence: int) -> Backend:
        """Returns what the engine announces.

        :param sequence: number of the announcement.
        """
        return Backend(
            instance=self.instance,
            service=SERVICE,
            address='127.0.0.1:1',
            data_centre='cheras',
            region='klang-valley',
            version='v1',
            models=('bench',),
            state='leaving' if self.leaving else 'serving',
            sequence=sequence,
        )


class SimulatedEngines:
    """Takes the place of the engine client."""

    def __init__(self, count: int, clock: ManualClock, rng: random.Random) -> None:
        """Starts the engines.

        :param count: how many.
        :param clock: simulated time.
        :param rng: source of token times.
        """
        self.engines = [SimulatedEngine(f'e{number}') for number in range(count)]
        self.engines_by_instance = {engine.instance: engine for engine in self.engines}
        self.cancelled: list[str] = []
        self.wrong_resumes: list[str] = []
        self.attempts: list[tuple[float, str]] = []
        self.stalled_at: dict[str, float] = {}
        self._clock = clock
        self._rng = rng

    async def stream(self, backend: Backend, call: EngineCall) -> AsyncIterator[Chunk]:
        """Yields the rest of the answer while the engine lives.

        :param backend: the engine.
        :param call: the attempt.
        """
        engine = self.engines_by_instance[backend.instance]
        if engine.state == 'dead':
            raise NotSentError(backend=backend.instance, reason='refused')
        prompt = str(call.body['prompt'])
        if call.resume_text != expected_text(prompt, call.resume_offset):
            self.wrong_resumes.append(call.request_id)
        limit_s = call.first_token_timeout_s
        self.attempts.append((self._clock.now(), engine.instance))
        end = int(str(call.body['max_tokens']))
        offset = call.resume_offset
        while offset < end:
            await self._progress(engine, limit_s)
            tokens = min(end - offset, self._rng.randint(1, MAX_CHUNK_TOKENS))
            text = ''.join(token(digest(prompt), offset + index) for index in range(tokens))
            yield Chunk(call.request_id, call.attempt, offset, text, tokens, None, None, {})
            offset += tokens
            limit_s = call.between_tokens_timeout_s

    async def _progress(self, engine: SimulatedEngine, limit_s: float) -> None:
        await self._clock.sleep(self._rng.uniform(*CHUNK_S))
        if engine.state == 'dead':
            raise ConnectionLostError(backend=engine.instance, reason='reset')
        if engine.state == 'frozen':
            await self._clock.sleep(limit_s)
            self.stalled_at.setdefault(engine.instance, self._clock.now())
            raise StalledError(backend=engine.instance, limit_s=limit_s, phase='tokens')

    async def cancel(self, backend: Backend, request_id: str, attempt: int) -> bool:
        """Notes a cancellation.

        :param backend: the engine.
        :param request_id: the request.
        :param attempt: the attempt.
        """
        self.cancelled.append(f'{request_id}.{attempt}@{backend.instance}')
        return True


@dataclasses.dataclass
class Outcome:
    """What one caller saw."""

    call: CompletionCall
    text: str = ''
    error: GeraniumrailError | None = None
    done: bool = False
    gone: bool = False


class StreamSchedule:
    """One entry, several engines and many callers; some engines are lost at once."""

    def __init__(self, seed: int) -> None:
        """Draws the sizes.

        :param seed: decides everything.
        """
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.engines = SimulatedEngines(self.rng.randint(5, 10), self.clock, self.rng)
        self.outcomes: list[Outcome] = []
        view = ClusterView(self.clock, BackendTracker())
        view.take(ControlUpdate(term=1, answers=1, lease_s=LEASE_S, revision=0), self.clock.now())
        nodes = [
            Node(path=path, version=1, values=values, change_id='c', operator='o')
            for path, values in SETTINGS.items()
        ]
        view.tree = Tree(revision=1, nodes_by_path={node.path: node for node in nodes})
        self.completions = Completions(
            Place('entry', 'cheras', 'klang-valley'),
            view,
            Outcomes(view, self.clock),
            PartWatch(self.clock, self._refuses_connections),
            RetryBudget(RetryLimit(), lambda: 1),
            self.engines,  # type: ignore[arg-type]
            self.clock,
            self.rng,
        )
        self._sequence = 0

    async def _refuses_connections(self, backend: Backend) -> bool:
        states = {each.instance: each.state for each in self.engines.engines}
        return states.get(backend.instance) == 'dead'

    def announce(self) -> None:
        """Lets the engines that run announce themselves."""
        self._sequence += 1
        self.completions.view.observe(
            engine.announcement(self._sequence)
            for engine in self.engines.engines
            if engine.state == 'serving'
        )
        self.completions.pump()

    async def run(self) -> None:
        """Runs until every caller has an answer.

        :raises ScheduleFailedError: if a guarantee does not hold.
        """
        self.announce()
        tasks = [
            asyncio.create_task(self._caller(number)) for number in range(self.rng.randint(20, 140))
        ]
        leavers = (task for task in tasks if self.rng.random() < GONE_SHARE)
        tasks += [asyncio.create_task(self._leave(task)) for task in tuple(leavers)]
        tasks.append(asyncio.create_task(self._lose()))
        steps = itertools.count()
        while self.clock.now() < END_S and not all(task.done() for task in tasks):
            await self.clock.advance(0.1)
            if next(steps) % int(RENEW_S * 10) == 0:
                self.announce()
            self.completions.pump()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._check()

    async def _lose(self) -> None:
        await self.clock.sleep(self.rng.uniform(0.2, TRAFFIC_S))
        count = max(1, int(LOST_SHARE * len(self.engines.engines)))
        lost = self.rng.sample(self.engines.engines, count)
        how = self.rng.choice(('notice', 'killed', 'frozen'))
        if how == 'notice':
            for engine in lost:
                engine.leaving = True
            self.announce()
            await self.clock.sleep(NOTICE_S)
        for engine in lost:
            engine.state = 'frozen' if how == 'frozen' else 'dead'

    async def _caller(self, number: int) -> None:
        await self.clock.sleep(self.rng.uniform(0, TRAFFIC_S))
        tokens = self.rng.randint(5, 120)
        prompt = f'question {self.seed} {number}'
        call = CompletionCall(
            request_id=f'r{number}',
            organisation=self.rng.choice(('salon-a', 'salon-b', 'workshops')),
            service=SERVICE,
            model='bench',
            path='/v1/completions',
            route=self.rng.choice(ROUTES),
            body={'prompt': prompt, 'max_tokens': tokens},
            stream=True,
            prompt_tokens=3,
            answer_tokens=tokens,
        )
        outcome = Outcome(call)
        self.outcomes.append(outcome)
        try:
            async with contextlib.aclosing(
                CompletionRun(call, self.completions).chunks()
            ) as chunks:
                async for chunk in chunks:
                    outcome.text += chunk.text
        except GeraniumrailError as error:
            outcome.error = error
        except asyncio.CancelledError:
            outcome.gone = True
        outcome.done = True

    async def _leave(self, caller: asyncio.Task[None]) -> None:
        await self.clock.sleep(self.rng.uniform(0, 2 * TRAFFIC_S))
        caller.cancel()

    def _check(self) -> None:
        for outcome in self.outcomes:
            prompt = str(outcome.call.body['prompt'])
            expected = expected_text(prompt, outcome.call.answer_tokens)
            whole = outcome.text == expected
            if outcome.gone and self.clock.now() < END_S and expected.startswith(outcome.text):
                continue
            refused = isinstance(outcome.error, OverloadedError) and not outcome.text
            if outcome.done and (whole and outcome.error is None or refused):
                continue
            label = outcome.call.request_id
            reason = f'{label}: done={outcome.done} whole={whole} error={outcome.error!r}'
            raise ScheduleFailedError(seed=self.seed, reason=reason)
        in_flight = {
            each.instance: self.completions.window.in_flight(each.instance)
            for each in self.engines.engines
        }
        if any(in_flight.values()) or self.engines.wrong_resumes:
            reason = f'turns not given back: {in_flight}; resumes: {self.engines.wrong_resumes}'
            raise ScheduleFailedError(seed=self.seed, reason=reason)
        stalled_at = self.engines.stalled_at
        late = [each for each in self.engines.attempts if each[0] > stalled_at.get(each[1], END_S)]
        if late:
            raise ScheduleFailedError(seed=self.seed, reason=f'new work after a stall: {late}')


def run_schedule(seed: int) -> None:
    """Runs one schedule.

    :param seed: decides everything.
    :raises ScheduleFailedError: if a guarantee does not hold.
    """
    asyncio.run(StreamSchedule(seed).run())
