"""Seeded schedules of bookings: several entries, a control leader, services and failures."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random

from geraniumrail.backends.service_answer import ServiceAnswer, StillRunning
from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.control.booking_reassignment import BookingReassignment
from geraniumrail.control.booking_waiters import BookingWaiters
from geraniumrail.control.entry_leases import EntryLeases
from geraniumrail.control.entry_session import EntrySession
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.core.refused import Refused
from geraniumrail.entry.bookings import Bookings
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.control_link import ControlLink
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.errors.backend import (
    BackendError,
    ConnectionLostError,
    CrossedAnswerError,
    NotSentError,
    RefusedError,
    StalledError,
)
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.errors.link import LinkError
from geraniumrail.links.messages import EntryInfo, EntryReport, Propose, Proposed
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.state import booking as phases
from geraniumrail.state import commands
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.machine import Machine
from geraniumrail.state.stored_call import StoredCall
from geraniumrail.testing.virtual_loop import LoopClock, run_virtually

SERVICE = 'repair-desk'
ENTRIES = 4
KEYS = 10
DEADLINE_S = 30.0
BUSY_S = 40.0
SETTLE_LIMIT_S = 300.0
DONE = phases.DONE
LOST = 'lost'  # the caller got no answer
ELSEWHERE = 'entry_unavailable'
TOLD = frozenset((DONE, LOST, ELSEWHERE, 'outcome_unknown', 'idempotency_key_reused'))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """How often what goes wrong; all off in schedules with announced failures only."""

    lose: float = 0  # share of messages to or from control that are lost
    duplicate: float = 0  # share of messages to control that arrive a second time, later
    not_sent: float = 0
    refuse: float = 0
    lose_request: float = 0
    lose_answer: float = 0
    cross: float = 0
    linger: float = 0  # share of requests that reach the service seconds later
    outcome_fails: float = 0
    leave_caller: float = 0  # share of callers that go away


UNANNOUNCED = Faults(
    lose=0.08,
    duplicate=0.15,
    not_sent=0.05,
    refuse=0.2,
    lose_request=0.03,
    lose_answer=0.1,
    cross=0.05,
    linger=0.1,
    outcome_fails=0.2,
    leave_caller=0.1,
)


@dataclasses.dataclass(frozen=True)
class Run:
    """One line of the services' journal."""

    key: str
    attempt: str
    body: bytes
    at: float
    answer: bytes


@dataclasses.dataclass
class Request:
    """One request of a caller; `ended` is None without an answer."""

    key: str
    body: bytes
    entry: str
    invoked: float
    ended: float | None = None
    outcome: str = LOST
    answer: bytes = b''
    reason: str = ''


@dataclasses.dataclass
class Report:
    """What happened in one schedule."""

    seed: int
    announced: bool = False
    violations: list[str] = dataclasses.field(default_factory=list)
    requests: int = 0
    runs: int = 0
    phases: dict[str, int] = dataclasses.field(default_factory=dict)
    told: dict[str, int] = dataclasses.field(default_factory=dict)
    kills: int = 0
    freezes: int = 0
    handovers: int = 0


class Services:
    """Plain services with a common database; a repeated key runs again, on purpose."""

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.rng = rng
        self.faults = faults
        self.journal: list[Run] = []
        self.states: dict[str, tuple[str, bytes]] = {}
        self.tasks: dict[asyncio.Task, None] = {}  # ordered, for equal histories
        self.backends = {name: self.backend(name, 1) for name in ('s1', 's2', 's3')}
        self.gone: set[str] = set()

    def backend(self, name: str, sequence: int, state: str = 'serving') -> Backend:
        return Backend(
            instance=name,
            service=SERVICE,
            address=name,
            data_centre='cheras',
            region='klang-valley',
            version='v1',
            kind='plain',
            state=state,
            lease_s=10_000,
            sequence=sequence,
        )

    def spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks[task] = None
        task.add_done_callback(self.tasks.pop)

    def hit(self, share: float) -> bool:
        return self.rng.random() < share

    async def arrive(self, backend: Backend, call, reply: asyncio.Future) -> None:
        """Handles a request whether or not its sender still waits."""
        linger = self.hit(self.faults.linger)
        await asyncio.sleep(self.rng.uniform(3, 15) if linger else self.rng.uniform(0, 0.02))
        if self.hit(self.faults.lose_request):
            return
        if self.hit(self.faults.refuse) or backend.instance in self.gone:
            _settle(reply, RefusedError(backend=backend.instance, reason='busy'))
            return
        answer = b'%b ran as %d' % (call.key.encode(), len(self.journal))
        now = asyncio.get_running_loop().time()
        self.journal.append(Run(call.key, call.request_id, call.body, now, answer))
        self.states[call.key] = ('running', answer)
        slow = self.hit(0.2)
        await asyncio.sleep(self.rng.uniform(1, 8) if slow else self.rng.uniform(0, 0.1))
        self.states[call.key] = (DONE, answer)
        if self.hit(self.faults.lose_answer):
            if self.hit(0.5):
                _settle(reply, ConnectionLostError(backend=backend.instance, reason='reset'))
            return
        if self.hit(self.faults.cross):
            crossed = CrossedAnswerError(backend=backend.instance, found='x', expected='y')
            _settle(reply, crossed)
            return
        _settle(reply, ServiceAnswer(status=201, headers=(), body=answer))


class Client:
    """The service client of one entry."""

    def __init__(self, host: 'Host', services: Services) -> None:
        self.host = host
        self.services = services

    async def send(self, backend: Backend, call) -> ServiceAnswer:
        await self.host.step()
        if self.services.hit(self.services.faults.not_sent):
            raise NotSentError(backend=backend.instance, reason='refused')
        reply = asyncio.get_running_loop().create_future()
        self.services.spawn(self.services.arrive(backend, call, reply))
        try:
            async with asyncio.timeout(call.limit_s):
                answer = await reply
        except TimeoutError as error:
            limit_s = call.limit_s
            stalled = StalledError(backend=backend.instance, limit_s=limit_s, phase='answer')
            raise stalled from error
        finally:
            await self.host.step()
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def outcome(self, backend: Backend, path: str, key: str):
        await self.host.step()
        await asyncio.sleep(self.services.rng.uniform(0, 0.02))
        if self.services.hit(self.services.faults.outcome_fails):
            raise BackendError(backend=backend.instance, reason='busy')
        state, answer = self.services.states.get(key, ('', b''))
        if state == 'running':
            return StillRunning(key)
        return ServiceAnswer(status=200, headers=(), body=answer) if state else None


class Leader:
    """The control leader; commands apply to the real state machine."""

    def __init__(self, rng: random.Random, clock: LoopClock) -> None:
        self.rng = rng
        self.clock = clock
        self.machine = Machine()
        self.waiters = BookingWaiters(self.machine)
        self.leases = EntryLeases()
        self.registry = BackendRegistry()
        self.usage = UsageShares()
        self.ownership = BookingReassignment(self.machine, self, self, clock)
        self.term = 1
        self.up = True
        self.leases.reset(clock.now())
        values = {'kind': 'plain', 'repeatable': False, 'outcome_path': '/outcomes'}
        change = commands.ChangeSettings(
            change_id='first',
            path=f'/*/{SERVICE}',
            expected_version=0,
            values={**values, 'deadline_ms': int(DEADLINE_S * 1000)},
            operator='test',
        )
        self.apply(codec.encode(change))

    def apply(self, command: bytes) -> bytes:
        return self.machine.apply(self.machine.applied + 1, command)

    async def propose(self, command: object) -> object:
        await asyncio.sleep(self.rng.uniform(0, 0.05))
        answer = codec.decode(self.apply(codec.encode(command)))
        if isinstance(answer, Refused):
            raise answer.to_error()
        return answer

    async def handle(self, request: object) -> object:
        if not self.up:
            return Refused.from_error(NotLeaderError(leader=None))
        try:
            if isinstance(request, Propose):
                return Proposed(result=self.apply(request.command))
            return await self.waiters.wait(request)
        except GeraniumrailError as error:
            return Refused.from_error(error)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            if self.up:
                self.leases.expire(self.clock.now())
                await self.ownership.run_once()

    async def change_leader(self, pause_s: float) -> None:
        self.up = False
        await asyncio.sleep(pause_s)
        self.term += 1
        self.leases.reset(self.clock.now())
        self.up = True

    def update_for(self, report: EntryReport, backends: tuple[Backend, ...]):
        self.leases.renew(report.info, self.clock.now(), report.holds_lease)
        self.usage.observe(report.info.entry, report.usage)
        self.registry.observe(backends, self.clock.now())
        session = EntrySession(report, self.term)
        tables = self.machine.tables
        return session.build_update(tables, self.registry, self.leases, self.usage)


class Links:
    """The link of one entry to the leader: delays, losses and late duplicates."""

    def __init__(self, host: 'Host', leader: Leader, services: Services) -> None:
        self.host = host
        self.leader = leader
        self.rng = services.rng
        self.services = services

    async def call(self, address: str, request: object, timeout_s: float):
        await self.host.step()
        reply = asyncio.get_running_loop().create_future()
        self.services.spawn(self.deliver(request, reply, self.rng.uniform(0, 0.03)))
        if isinstance(request, Propose) and self.services.hit(self.services.faults.duplicate):
            unread = asyncio.get_running_loop().create_future()
            late_s = self.rng.choice((0.1, 1, 30)) * self.rng.random()
            self.services.spawn(self.deliver(request, unread, late_s))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await reply
        except TimeoutError as error:
            raise LinkError(address=address, reason='timeout') from error
        finally:
            await self.host.step()
        if isinstance(answer, Refused):
            raise answer.to_error()
        return answer

    async def deliver(self, request: object, reply: asyncio.Future, delay_s: float) -> None:
        if self.lost():
            return
        await asyncio.sleep(delay_s)
        answer = await self.leader.handle(request)
        await asyncio.sleep(self.rng.uniform(0, 0.03))
        if not self.lost():
            _settle(reply, answer)

    def lost(self) -> bool:
        return self.host.cut or self.services.hit(self.services.faults.lose)


class Host:
    """One entry; every step between two awaits can be the last or a long pause."""

    numbers = itertools.count(1)

    def __init__(self, name: str, leader: Leader, services: Services, rng: random.Random) -> None:
        self.name = name
        self.entry = f'{name}.{next(self.numbers)}'
        self.state = 'serving'
        self.cut = False
        self.dead = False
        self.running = asyncio.Event()
        self.running.set()
        self.leader = leader
        self.services = services
        self.clock = leader.clock
        self.view = ClusterView(self, BackendTracker())
        self.links = Links(self, leader, services)
        control = ControlLink(LeaderFinder(['leader']), self.links, self, rng)
        client = Client(self, services)
        outcomes = Outcomes(self.view, self)
        watch = PartWatch(self, self.goes_on)
        self.bookings = Bookings(self.entry, self.view, outcomes, watch, control, client, self, rng)
        self.tasks: dict[asyncio.Task, None] = {}  # ordered, for equal histories
        self.spawn(self.heartbeat())

    def now(self) -> float:
        return self.clock.now()

    def wall(self) -> float:
        return self.clock.now()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.step()

    async def goes_on(self, backend: Backend) -> bool:
        """Answers the probe after a lost connection: the services don't crash."""
        return False

    async def step(self) -> None:
        """Ends here if the process was killed, and waits while it is frozen."""
        if not self.dead:
            await self.running.wait()
        if self.dead:
            raise asyncio.CancelledError

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks[task] = None
        task.add_done_callback(self.tasks.pop)
        return task

    def kill(self) -> None:
        self.dead = True
        runs = self.bookings._runs_by_claim.values()
        for task in (*self.tasks, *runs):
            task.cancel()

    async def heartbeat(self) -> None:
        for sequence in itertools.count(1):
            await self.step()
            sent_at = self.now()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2.2):
                    update = await self.exchange(sequence)
                    await self.step()
                    if self.view.take(update, sent_at) and update.assigned:
                        self.bookings.take_over(update.assigned)
            await self.sleep(max(0, sent_at + 1 - self.now()))

    async def exchange(self, sequence: int):
        info = EntryInfo(
            entry=self.entry,
            instance=self.name,
            address=self.name,
            peer_address=self.name,
            data_centre='cheras',
            region='klang-valley',
            state=self.state,
            applied_revision=self.view.tree.revision,
        )
        version = self.view.registry_version
        report = EntryReport(
            sequence=sequence,
            info=info,
            registry_version=version,
            holds_lease=self.view.holds_lease(),
        )
        await asyncio.sleep(self.links.rng.uniform(0, 0.03))
        if self.links.lost() or not self.leader.up:
            await asyncio.Event().wait()
        update = self.leader.update_for(report, tuple(self.services.backends.values()))
        await asyncio.sleep(self.links.rng.uniform(0, 0.03))
        if self.links.lost():
            await asyncio.Event().wait()
        return update

    async def serve(self, request: Request) -> None:
        """Answers one request, as `callers` and `PlainCalls` do."""
        await self.step()
        key = BookingKey(organisation='salon-a', service=SERVICE, key=request.key)
        call = StoredCall(method='POST', path='/bookings', route='bookings', body=request.body)
        digest = request.body.decode()
        try:
            answer = await self.bookings.answer(key, digest, call, DEADLINE_S)
        except GeraniumrailError as error:
            await self.step()
            request.outcome, request.reason = error.type_name, str(error)
        else:
            await self.step()
            request.outcome, request.answer = DONE, answer.body
        request.ended = self.now()


def _settle(reply: asyncio.Future, answer: object) -> None:
    if not reply.done():
        reply.set_result(answer)


class Schedule:
    """Callers and failures for a while, then recovery, then one last request for each key."""

    def __init__(self, seed: int, announced: bool) -> None:
        self.report = Report(seed, announced)
        self.rng = random.Random(seed)
        self.faults = Faults() if announced else UNANNOUNCED
        self.services = Services(self.rng, self.faults)
        self.leader = Leader(self.rng, LoopClock())
        self.hosts = {f'entry-{number}': None for number in range(1, ENTRIES + 1)}
        for name in self.hosts:
            self.start(name)
        self.requests: list[Request] = []
        self.repairs: dict[asyncio.Task, None] = {}

    def start(self, name: str) -> None:
        rng = random.Random(self.rng.random())
        self.hosts[name] = Host(name, self.leader, self.services, rng)

    async def run(self) -> Report:
        tasks = [asyncio.ensure_future(self.leader.run())]
        await asyncio.sleep(6)  # the leader knows all leases
        callers = [
            asyncio.ensure_future(self.call(f'key-{number}', caller))
            for number in range(KEYS)
            for caller in range(self.rng.choice((1, 1, 2, 4)))
        ]
        breaker = asyncio.ensure_future(self.break_often())
        await asyncio.sleep(BUSY_S)
        breaker.cancel()
        await asyncio.gather(*self.repairs)
        self.services.faults = Faults()
        for host in self.hosts.values():
            host.cut = False
        await self.settle()
        await asyncio.gather(*callers)
        for key in sorted({request.key for request in self.requests}):
            await self.ask(key, b'body', self.hosts['entry-1'])
        for task in tasks:
            task.cancel()
        for host in self.hosts.values():
            host.kill()
        self.check()
        return self.report

    async def settle(self) -> None:
        end = self.leader.clock.now() + SETTLE_LIMIT_S
        while self.leader.clock.now() < end:
            await asyncio.sleep(1)
            busy = any(host.bookings.in_progress for host in self.hosts.values())
            if not busy and not self.services.tasks and not self.leader.machine.tables.open_labels:
                return
        stuck = [
            f'{label} is {booking.phase} at {booking.owner}'
            for label, booking in self.leader.machine.tables.bookings_by_label.items()
            if not booking.final()
        ]
        self.report.violations += stuck or ['not settled']

    async def call(self, key: str, caller: int) -> None:
        """Asks with one key, again at other entries, until there is an outcome."""
        body = b'other' if caller == 3 else b'body'
        await asyncio.sleep(self.rng.uniform(0, BUSY_S * 0.7) if caller == 0 else 0)
        if caller:
            await asyncio.sleep(self.rng.choice((0, self.rng.uniform(0, BUSY_S))))
        for _ in range(self.rng.choice((1, 2, 12, 12))):
            serving = [
                host
                for host in self.hosts.values()
                if not host.dead and host.state == 'serving' and host.view.holds_lease()
            ]
            if serving:
                request = await self.ask(key, body, self.rng.choice(serving))
                if request.outcome in {DONE, 'idempotency_key_reused'}:
                    return
                if request.outcome == 'outcome_unknown' and 'still running' not in request.reason:
                    return
            await asyncio.sleep(self.rng.uniform(0.1, 2))

    async def ask(self, key: str, body: bytes, host: Host) -> Request:
        request = Request(key, body, host.entry, host.now())
        self.requests.append(request)
        handler = host.spawn(host.serve(request))
        patience_s = 60.0
        if self.services.hit(self.services.faults.leave_caller):
            patience_s = self.rng.uniform(0, 2)
        await asyncio.wait([handler], timeout=patience_s)
        handler.cancel()  # the caller has gone
        return request

    async def break_often(self) -> None:
        announced = (self.reclaim_entry, self.leave_backend, self.change_leader)
        hard = (self.kill, self.kill, self.freeze, self.freeze, self.cut, self.lose_backends)
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 6))
            actions = announced if self.report.announced else (*hard, *announced)
            for action in self.rng.sample(actions, self.rng.choice((1, 1, 2))):
                task = asyncio.ensure_future(action())
                self.repairs[task] = None
                task.add_done_callback(self.repairs.pop)

    def victim(self) -> Host | None:
        sound = [
            host
            for host in self.hosts.values()
            if not host.dead and host.state == 'serving' and host.running.is_set() and not host.cut
        ]
        return self.rng.choice(sound) if len(sound) > 1 else None

    async def kill(self) -> None:
        host = self.victim()
        if host:
            self.report.kills += 1
            host.kill()
            await asyncio.sleep(self.rng.uniform(0.5, 8))
            self.start(host.name)

    async def freeze(self) -> None:
        host = self.victim()
        if host:
            self.report.freezes += 1
            host.running.clear()
            await asyncio.sleep(self.rng.uniform(0.5, 12))
            if not host.dead:
                host.running.set()

    async def cut(self) -> None:
        host = self.victim()
        if host:
            host.cut = True
            await asyncio.sleep(self.rng.uniform(0.5, 12))
            host.cut = False

    async def reclaim_entry(self) -> None:
        """Drains as `Entry.drain` does, then starts a new instance."""
        host = self.victim()
        if host:
            host.state = 'leaving'
            await host.sleep(3)
            while host.bookings.in_progress or len(host.tasks) > 1:
                await host.sleep(0.2)
            host.kill()
            self.start(host.name)

    async def leave_backend(self) -> None:
        services = self.services
        serving = [name for name, each in services.backends.items() if each.state == 'serving']
        if len(serving) < 2 or services.gone:
            return
        name = self.rng.choice(serving)
        sequence = services.backends[name].sequence
        services.backends[name] = services.backend(name, sequence + 1, 'leaving')
        await asyncio.sleep(2)
        services.gone.add(name)  # takes no new work and finishes what it has
        await asyncio.sleep(self.rng.uniform(0, 8))
        services.gone.discard(name)
        sequence = services.backends[name].sequence
        services.backends[name] = services.backend(name, sequence + 1)

    async def lose_backends(self) -> None:
        """Leaves no backend server for a while, so that bookings end as not_run."""
        services = self.services
        if services.gone:
            return
        services.gone = set(services.backends)
        for name, known in services.backends.items():
            services.backends[name] = services.backend(name, known.sequence + 1, 'leaving')
        await asyncio.sleep(self.rng.uniform(5, 35))
        for name, known in services.backends.items():
            services.backends[name] = services.backend(name, known.sequence + 1)
        services.gone = set()

    async def change_leader(self) -> None:
        if self.leader.up:
            longest = 3 if self.report.announced else 15
            await self.leader.change_leader(self.rng.uniform(0.1, longest))

    def check(self) -> None:
        report = self.report
        bookings = self.leader.machine.tables.bookings_by_label.values()
        report.requests = len(self.requests)
        report.runs = len(self.services.journal)
        report.handovers = sum(booking.handovers for booking in bookings)
        for booking in bookings:
            report.phases[booking.phase] = report.phases.get(booking.phase, 0) + 1
            if report.announced and booking.phase != DONE:
                report.violations.append(f'{booking.key.key} ended as {booking.phase}')
        report.told = dict(collections.Counter(request.outcome for request in self.requests))
        report.violations += check_history(self.requests, self.services.journal)


def check_history(requests: list[Request], journal: list[Run]) -> list[str]:
    """Decides from callers' events and the journal alone; returns the violations."""
    return [
        violation
        for key in sorted({request.key for request in requests})
        for violation in check_key(
            [request for request in requests if request.key == key],
            [run for run in journal if run.key == key],
        )
    ]


def check_key(requests: list[Request], runs: list[Run]) -> list[str]:
    """Checks the requests and runs of one key."""
    key = requests[0].key
    found = [f'{key} ran {len(runs)} times'] if len(runs) > 1 else []
    answered = [request for request in requests if request.outcome == DONE]
    if len({(request.answer, request.body) for request in answered}) > 1:
        found.append(f'{key} got different answers')
    if answered and not runs:
        found.append(f'{key} was answered without a run')
    for request in answered:
        if runs and (runs[0].body, runs[0].answer) != (request.body, request.answer):
            found.append(f'{key} got an answer of another')
    for request in requests:
        if request.outcome == 'not_run':
            found += check_not_run(request, requests, runs)
        elif request.outcome not in TOLD:
            found.append(f'{key} was answered {request.outcome}: {request.reason}')
        elif request.outcome == 'idempotency_key_reused' and not any(
            other.body != request.body for other in requests
        ):
            found.append(f'{key} was refused for its own body')
    return found


def check_not_run(told: Request, requests: list[Request], runs: list[Run]) -> list[str]:
    """A key said not to have run has no run before, and none later unless it is asked for."""
    asked = [
        other.invoked
        for other in requests
        if other is not told and (other.ended is None or other.ended > told.ended)
    ]
    if any(run.at <= told.ended for run in runs):
        return [f'{told.key} had run when a caller was told not_run']
    if runs and not asked:
        return [f'{told.key} ran after not_run though nobody asked again']
    return []


def run_schedule(seed: int) -> Report:
    """Runs one schedule; every fourth has announced failures only.

    :param seed: decides everything; the report is the same for the same seed.
    """

    async def work() -> Report:
        return await Schedule(seed, seed % 4 == 0).run()

    Host.numbers = itertools.count(1)
    return run_virtually(work())
