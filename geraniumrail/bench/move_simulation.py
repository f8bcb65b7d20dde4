"""Plays one move in virtual time."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterator

from geraniumrail.bench.fixed_steps import FixedSteps
from geraniumrail.bench.move_kinds import DEADLINE_S
from geraniumrail.bench.move_model import NEW, OLD, Answer, Scenario, Service
from geraniumrail.rollout.end_reason import EndPhase
from geraniumrail.rollout.entry_breakers import EntryBreakers
from geraniumrail.rollout.move_controller import MoveController
from geraniumrail.rollout.move_end import MoveEnd
from geraniumrail.rollout.move_spec import MoveSpec
from geraniumrail.rollout.outcome_counter import OutcomeCounter

SERVICE = 'assistant-llm'
ENTRIES = 4
_REPORT_S = 1
_LEADER_DELAY_S = 0.5  # from the decision to the entries: commit and push


@dataclasses.dataclass
class Outcome:
    """Figures of one move."""

    scenario: Scenario
    end: str = ''
    reason: str = ''
    ended_at: float = 0
    requests: int = 0
    faulty: int = 0  # answers that the fault reached
    sent_after_onset: int = 0
    new_after_onset: int = 0
    shown_at: float | None = None  # first faulty outcome known to an entry
    breaker_delays: list[float] = dataclasses.field(default_factory=list)
    breaker_samples: list[int] = dataclasses.field(default_factory=list)

    @property
    def is_right(self) -> bool:
        """Returns whether a good version is done, or a version whose fault showed is not."""
        if self.scenario.faulty and self.shown_at is not None:
            return self.end == EndPhase.taken_back
        return self.end == EndPhase.done


class _Entry:
    """One entry: outcome counter, breakers, and when faults showed."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.log = OutcomeCounter()
        self.breaker = EntryBreakers()
        self.shown: list[float] = []
        self.was_blocked = False

    def note(self, answer: Answer, part: str, now: float) -> None:
        failed = answer.failed if part == 'end' else None
        first_s = answer.first_s if part == 'first' else None
        between_s = answer.between_s if part == 'end' and not answer.failed else None
        names = (SERVICE, answer.version, answer.route)
        self.breaker.observe(*names, failed, first_s, between_s, now, answer.band)
        self.log.observe(*names, answer.organisation, failed, first_s, between_s, now, answer.band)


class Simulation:
    """One move with one controller."""

    def __init__(self, scenario: Scenario, *, baseline: bool) -> None:
        """Prepares the move.

        :param scenario: what happens.
        :param baseline: fixed steps instead of the project's decisions.
        """
        self._rng = random.Random(f'{scenario.kind} {scenario.engines} {scenario.seed} run')
        self._service = Service(scenario, self._rng)
        self._baseline = baseline
        spec = MoveSpec(
            move_id=f'm{scenario.seed}',
            service=SERVICE,
            from_version=OLD,
            to_version=NEW,
            started_at=0,
            deadline=DEADLINE_S,
        )
        self._controller = FixedSteps(spec) if baseline else MoveController.from_start(spec, 0)
        self._entries = [_Entry(f'e{number}') for number in range(ENTRIES)]
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = itertools.count()
        self._share: float = 0
        self._outcome = Outcome(scenario)

    def run(self) -> Outcome:
        """Plays until the end of the move and returns its figures."""
        # A minute of traffic before the move gives the entries figures of the old version.
        self._push(-60, 'arrive', None)
        for number, entry in enumerate(self._entries):
            self._push(number / ENTRIES - 1, 'report', entry)
        self._push(0.9, 'decide', None)
        self._follow(0)
        handlers = {
            'arrive': self._arrive,
            'first': self._known,
            'end': self._known,
            'report': self._report,
            'decide': self._decide,
            'apply': self._apply,
        }
        for now, kind, subject in self._queue():
            if isinstance(subject, tuple):
                handlers[kind](now, kind, *subject)
            else:
                handlers[kind](now, subject)
        return self._outcome

    def _queue(self) -> Iterator[tuple[float, str, object]]:
        while not self._outcome.end:
            now, _, kind, subject = heapq.heappop(self._events)
            yield now, kind, subject

    def _push(self, at: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, subject))

    def _arrive(self, now: float, _: object) -> None:
        self._push(now + self._rng.expovariate(self._service.rate(now)), 'arrive', None)
        entry = self._rng.choice(self._entries)
        route = self._service.draw_route()
        version = NEW if self._rng.random() < self._share else OLD
        if version == NEW and entry.breaker.blocked(SERVICE, NEW, route, now):
            self._note_block(entry, now)
            version = OLD
        answer = self._service.send(version, route, self._share, now)
        self._push(answer.first_at, 'first', (entry, answer))
        self._push(answer.end_at, 'end', (entry, answer))
        self._count(answer, now)

    def _note_block(self, entry: _Entry, now: float) -> None:
        if entry.shown and not entry.was_blocked:
            entry.was_blocked = True
            self._outcome.breaker_delays.append(now - entry.shown[0])
            self._outcome.breaker_samples.append(len(entry.shown))

    def _count(self, answer: Answer, now: float) -> None:
        if now < 0:
            return
        self._outcome.requests += 1
        self._outcome.faulty += answer.faulty
        if now >= self._outcome.scenario.onset_s:
            self._outcome.sent_after_onset += 1
            self._outcome.new_after_onset += answer.version == NEW

    def _known(self, now: float, part: str, entry: _Entry, answer: Answer) -> None:
        shows = answer.failed if self._outcome.scenario.error_rate else part == 'first'
        if answer.faulty and shows and not (answer.failed and part == 'first'):
            entry.shown.append(now)
            if self._outcome.shown_at is None:
                self._outcome.shown_at = now
        entry.note(answer, part, now)

    def _report(self, now: float, entry: _Entry) -> None:
        self._push(now + _REPORT_S, 'report', entry)
        self._controller.observe(entry.log.drain(), entry.breaker.reports(), entry.name, now)

    def _decide(self, now: float, _: object) -> None:
        self._push(now + _REPORT_S, 'decide', None)
        decision = self._controller.decide(now)
        if decision is not None:
            self._push(now + _LEADER_DELAY_S, 'apply', decision)

    def _apply(self, now: float, decision: object) -> None:
        if isinstance(decision, MoveEnd):
            self._outcome.end = decision.phase.value
            self._outcome.reason = decision.reason.value
            self._outcome.ended_at = now
            return
        self._controller.confirm_step(decision, now)
        self._share = decision.share
        self._follow(decision.step)

    def _follow(self, step: int) -> None:
        # The baseline has no breaker: without a move it never blocks.
        for entry in () if self._baseline else self._entries:
            entry.breaker.set_move(SERVICE, OLD, NEW, step)
