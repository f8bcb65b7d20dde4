"""Seeded schedules of settings changes and of orders to engines, both under failures."""

import asyncio
import contextlib
import dataclasses
import itertools
import math

from geraniumrail.backends.engine_order import EngineOrder
from geraniumrail.control.proposer import Proposer
from geraniumrail.core.backend import Backend
from geraniumrail.errors.backend import BackendError, StaleOrderError
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import ConsensusError, ProposalLostError
from geraniumrail.errors.link import LinkError
from geraniumrail.errors.settings import VersionConflictError
from geraniumrail.operators.in_force import await_in_force
from geraniumrail.standins.orders import Orders as EngineOrders
from geraniumrail.state import commands
from geraniumrail.testing.daemons import NAMES, Daemon, Daemons
from geraniumrail.testing.register_history import Operation, check
from geraniumrail.testing.virtual_loop import run_virtually

PATHS = ('/salon-a', '/salon-b')
KEY = 'weight'
OPERATORS = 3
IN_FORCE_LIMIT_S = 7.0
# The lease of an entry that is cut off together with the leader, which renews it until the leader's
# own lease of 1.5 s ends; clocks differ by 2 %.
LEASE_LIMIT_S = 4 * 1.02 + 1.5 * 1.02 + 0.1
LISTED_LIMIT_S = 8.0  # lease and margin, 1 s of delay in both directions, 1.5 s as above
LOST_ANSWER_SHARE = 0.15
MAX_ATTEMPTS = 12


@dataclasses.dataclass
class SettingsReport:
    """Violations and counts of one schedule."""

    seed: int
    violations: list[str] = dataclasses.field(default_factory=list)
    operations: int = 0
    written: int = 0
    unknown: int = 0
    conflicts: int = 0
    reads: int = 0
    in_force: int = 0
    slowest_in_force_s: float = 0
    crashes: int = 0
    cuts: int = 0


class Schedule:
    """Operators, failures and checks on one group of daemons."""

    def __init__(self, seed: int) -> None:
        """Prepares a schedule.

        :param seed: decides everything.
        """
        self.report = SettingsReport(seed)
        self.daemons = Daemons(seed)
        self.rng = self.daemons.rng
        self.history: list[Operation] = []
        self._numbers = itertools.count(1)
        self._version_by_path = dict.fromkeys(PATHS, 0)
        self._accepted: list[tuple[float, int]] = []  # (time of the answer, revision)
        self._revision_in_force = 0
        self._served_revision_by_entry: dict[str, int] = {}  # by entry id; highest revision
        self._isolated_since: dict[str, float] = {}
        self._answer_by_change_id: dict[str, tuple[commands.ChangeSettings, object]] = {}

    async def run(self, duration_s: float) -> SettingsReport:
        """Runs the schedule and checks its history.

        :param duration_s: virtual seconds with failures.
        """
        await self.daemons.create()
        tasks = [asyncio.create_task(self._run_operator()) for _ in range(OPERATORS)]
        failures = asyncio.create_task(self._inject_failures())
        end = self.daemons.clock.now() + duration_s
        while self.daemons.clock.now() < end:
            await self._step()
        failures.cancel()
        self.daemons.net.heal()
        self._isolated_since = {}
        await self.daemons.revive(at_once=True)
        await self._await_convergence()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._await_convergence()
        self._check_history()
        await self.daemons.stop()
        return self.report

    async def _step(self) -> None:
        await asyncio.sleep(0.05)
        await self.daemons.revive()
        now = self.daemons.clock.now()
        due = max(
            (revision for at, revision in self._accepted if now >= at + IN_FORCE_LIMIT_S), default=0
        )
        for daemon in self.daemons.running():
            self._check_entry(daemon, max(due, self._revision_in_force), now)

    def _check_entry(self, daemon: Daemon, due: int, now: float) -> None:
        view = daemon.view
        revision = view.tree.revision
        if revision < self._served_revision_by_entry.get(daemon.entry_id, 0):
            self._add_violation(f'{daemon.entry_id} reverted to revision {revision}')
        self._served_revision_by_entry[daemon.entry_id] = revision
        if not view.holds_lease():
            return
        if revision < due:
            self._add_violation(
                f'{daemon.entry_id} serves revision {revision} when {due} is in force'
            )
        isolated_s = now - self._isolated_since.get(daemon.name, math.inf)
        if isolated_s > LEASE_LIMIT_S:
            self._add_violation(f'{daemon.entry_id} serves {isolated_s:.1f} s after it was cut off')
        for info in view.entries:
            since = self._isolated_since.get(info.entry.partition('-')[0], math.inf)
            if now - since > LISTED_LIMIT_S and view.holds_lease():
                self._add_violation(f'{daemon.entry_id} lists {info.entry}, which is cut off')

    async def _await_convergence(self) -> None:
        leader = None
        await self.daemons.until(lambda: self.daemons.leader() is not None)
        leader = self.daemons.leader()
        revision = leader.control.machine.tables.tree.revision

        def converged() -> bool:
            return all(
                each.view.tree.revision >= revision and each.view.holds_lease()
                for each in self.daemons.running()
            )

        await self.daemons.until(converged)

    def _check_history(self) -> None:
        report = self.report
        report.violations += check(self.history)
        tables = self.daemons.leader().control.machine.tables
        applied = [change.change_id for change in tables.changes_by_id.values() if change.changed]
        if tables.tree.revision != len(applied):
            self._add_violation(f'revision {tables.tree.revision} after {len(applied)} changes')
        for operation in self.history:
            ran = operation.change_id in applied
            if ran and operation.outcome in {'not_run', 'conflict'}:
                self._add_violation(
                    f'{operation.change_id} ran, but was answered {operation.outcome}'
                )
            if not ran and operation.kind == 'write' and operation.outcome == 'done':
                self._add_violation(f'{operation.change_id} was lost')
        outcomes = [(each.kind, each.outcome) for each in self.history]
        report.operations = len(outcomes)
        report.written = outcomes.count(('write', 'done'))
        report.unknown = outcomes.count(('write', 'unknown'))
        report.conflicts = outcomes.count(('write', 'conflict'))
        report.reads = outcomes.count(('read', 'done'))

    def _add_violation(self, what: str) -> None:
        if what not in self.report.violations:
            self.report.violations.append(what)

    async def _run_operator(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            path = self.rng.choice(PATHS)
            draw = self.rng.random()
            if draw < 0.4:
                await self._read(path)
            elif draw < 0.9 or not self._answer_by_change_id:
                await self._write(path)
            else:
                await self._resend(self.rng.choice(list(self._answer_by_change_id)))

    def _member(self) -> Daemon | None:
        """Returns a member in the role of leader, which may be cut off, or sometimes any member."""
        running = self.daemons.running()
        leading = [each for each in running if each.control.replica.status().role == 'leader']
        choices = leading if leading and self.rng.random() < 0.9 else running
        return self.rng.choice(choices) if choices else None

    async def _read(self, path: str) -> None:
        member = self._member()
        if member is None:
            return
        operation = Operation(path=path, kind='read', invoked_at=self.daemons.clock.now())
        try:
            await member.control.replica.read_barrier()
        except ConsensusError:
            return
        node = member.control.machine.tables.tree.nodes_by_path.get(path)
        operation.version = node.version if node else 0
        operation.found = node.values.get(KEY) if node else None
        operation.outcome = 'done'
        operation.completed_at = self.daemons.clock.now()
        self._version_by_path[path] = max(self._version_by_path[path], operation.version)
        self.history.append(operation)

    async def _write(self, path: str) -> None:
        number = next(self._numbers)
        command = commands.ChangeSettings(
            change_id=f'change-{number}',
            path=path,
            expected_version=self._version_by_path[path],
            values={KEY: round(0.1 + number / 1000, 3)},
            operator='operator',
        )
        operation = Operation(
            path=path,
            kind='write',
            invoked_at=self.daemons.clock.now(),
            change_id=command.change_id,
            expected=command.expected_version,
            wanted=command.values[KEY],
        )
        self.history.append(operation)
        answer, member = await self._propose(command)
        if answer is None:
            return
        operation.completed_at = self.daemons.clock.now()
        if isinstance(answer, str):
            operation.outcome = answer
            return
        self._answer_by_change_id[command.change_id] = (command, answer)
        if isinstance(answer, VersionConflictError):
            operation.outcome = 'conflict'
            operation.version = answer.fields['version']
        else:
            operation.outcome = 'done'
            operation.version = answer.version
            self._accepted.append((operation.completed_at, answer.revision))
            await self._await_in_force(member, answer.revision)
        self._version_by_path[path] = max(self._version_by_path[path], operation.version)

    async def _await_in_force(self, member: Daemon, revision: int) -> None:
        started = self.daemons.clock.now()
        if await await_in_force(member.control, revision):
            self.report.in_force += 1
            took_s = self.daemons.clock.now() - started
            self.report.slowest_in_force_s = max(self.report.slowest_in_force_s, took_s)
            if self.daemons.net.daemons_by_name.get(member.name) is member:
                self._revision_in_force = max(self._revision_in_force, revision)

    async def _propose(self, command: commands.ChangeSettings) -> tuple[object, Daemon | None]:
        """Sends a change as the operators' client does; returns None if its outcome is unknown."""
        may_have_run = False
        for _ in range(MAX_ATTEMPTS):
            member = self._member()
            if member is not None:
                lost = self.rng.random() < LOST_ANSWER_SHARE
                try:
                    answer = await Proposer(member.control.replica).propose(command)
                except VersionConflictError as error:
                    answer = error
                except ProposalLostError:
                    answer, lost = None, True
                except (ConsensusError, LinkError):
                    answer, lost = None, False
                if answer is not None and not lost:
                    return answer, member
                may_have_run = may_have_run or lost
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        return (None if may_have_run else 'not_run'), None

    async def _resend(self, change_id: str) -> None:
        command, first = self._answer_by_change_id[change_id]
        again, _ = await self._propose(command)
        if again is None or isinstance(again, str):
            return
        same = again == first
        if isinstance(first, VersionConflictError):
            same = isinstance(again, VersionConflictError) and again.fields == first.fields
        if not same:
            self._add_violation(f'{change_id} had the results {first!r} and {again!r}')

    async def _inject_failures(self) -> None:
        actions = (
            *[self._crash] * 4,
            *[self._isolate] * 3,
            *[self._cut_one_way] * 2,
            *[self._heal] * 3,
            self._delay,
            self._transfer_leadership,
        )
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 4))
            await self.rng.choice(actions)()

    async def _crash(self) -> None:
        running = list(self.daemons.net.daemons_by_name)
        if len(self.daemons.down) < 2:
            self.report.crashes += 1
            await self.daemons.crash(self.rng.choice(running), self.rng.uniform(0.2, 6))

    async def _isolate(self) -> None:
        self.report.cuts += 1
        names = self.rng.sample(NAMES, self.rng.choice((1, 1, 2)))
        self.daemons.net.isolate(names)
        if len(names) == 1:
            self._isolated_since.setdefault(names[0], self.daemons.clock.now())
            if self.rng.random() < 0.4:  # sometimes cut off for a long time
                await asyncio.sleep(self.rng.uniform(5, 15))

    async def _cut_one_way(self) -> None:
        self.report.cuts += 1
        names = self.rng.sample(NAMES, 2)
        self.daemons.net.cut(names[:1], [name for name in NAMES if name != names[0]][: len(names)])

    async def _heal(self) -> None:
        self.daemons.net.heal()
        self._isolated_since = {}

    async def _delay(self) -> None:
        self.daemons.net.delay_s = (0.001, self.rng.choice((0.05, 0.3, 1)))

    async def _transfer_leadership(self) -> None:
        leader = self.daemons.leader()
        if leader is not None:
            with contextlib.suppress(ConsensusError):
                await leader.control.replica.transfer_leadership()


def run_schedule(seed: int, duration_s: float = 30) -> SettingsReport:
    """Runs one schedule in an event loop of its own.

    :param seed: seed.
    :param duration_s: virtual seconds with failures.
    """
    return run_virtually(Schedule(seed).run(duration_s))


@dataclasses.dataclass
class OrderReport:
    """Violations and counts of one schedule of orders."""

    seed: int
    violations: list[str] = dataclasses.field(default_factory=list)
    accepted: int = 0
    stale: int = 0
    failed: int = 0
    leaders: int = 0


class OrderSchedule:
    """Successive leaders send orders, which are delayed on their way to two stand-in engines.

    One engine refuses old numbers, the other ignores them; the settings name the first.
    """

    services = ('enforced', 'ignored')

    def __init__(self, seed: int, enforcing: bool = True) -> None:
        """Prepares a schedule.

        :param seed: decides everything.
        :param enforcing: False: the first engine does not check numbers either.
        """
        self.report = OrderReport(seed)
        self.daemons = Daemons(seed)
        self.rng = self.daemons.rng
        self.engines = {
            service: EngineOrders('v1', (), fencing=enforcing and service == 'enforced')
            for service in self.services
        }
        self._numbers = itertools.count()

    async def run(self, changes: int) -> OrderReport:
        """Runs the schedule and checks the orders.

        :param changes: number of changes of leadership.
        """
        await self.daemons.create()
        await self._enable_fencing()
        tasks = [asyncio.create_task(self._send_orders()) for _ in range(4)]
        for _ in range(changes):
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            await self.daemons.until(lambda: self.daemons.leader() is not None)
            await self._change_leader()
            await self._await_next_order(len(self.engines['ignored'].entries))
            await asyncio.sleep(self.rng.uniform(0.1, 2))
            self.daemons.net.heal()
            await self.daemons.revive(at_once=True)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._check()
        await self.daemons.stop()
        return self.report

    async def _await_next_order(self, seen: int) -> None:
        await self.daemons.until(lambda: len(self.engines['ignored'].entries) > seen)

    async def order(self, backend: Backend, order: EngineOrder, limit_s: float) -> str:
        """Implements `EngineClient`: an order arrives late, or not within the timeout."""
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(self.rng.choice((0.001, self.rng.uniform(0, 2.2))))
        except TimeoutError as error:
            self.report.failed += 1
            raise BackendError(backend=backend.instance, reason='timeout') from error
        entry = self.engines[backend.service].take(dataclasses.asdict(order))
        if entry.outcome == 'stale_order':
            self.report.stale += 1
            raise StaleOrderError(backend=backend.instance, term=order.term, number=order.number)
        return entry.outcome

    async def _enable_fencing(self) -> None:
        command = commands.ChangeSettings(
            change_id='fencing',
            path='/*/enforced',
            expected_version=0,
            values={'fencing': 'enforced'},
            operator='operator',
        )
        await Proposer(self.daemons.leader().control.replica).propose(command)

    async def _send_orders(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0, 0.4))
            number = next(self._numbers)
            service = self.services[number % 2]
            running = self.daemons.running()
            leading = [each for each in running if each.control.leadership.is_active()]
            if not leading:
                continue
            control = self.rng.choice(leading).control
            backend = Backend(
                instance=f'engine-{service}',
                service=service,
                address='127.0.0.1:1',
                data_centre='',
                region='',
                version='v1',
                sequence=number + 1,
            )
            control.publisher.registry.observe((backend,), control.now())
            command = commands.IssueOrder(
                order_id=f'order-{number}',
                backend=backend.instance,
                kind='load_version',
                name=f'v{number}',
            )
            with contextlib.suppress(GeraniumrailError):
                await control.orders.send(self, command)

    async def _change_leader(self) -> None:
        leader = self.daemons.leader()
        how = self.rng.choice(('isolate', 'crash', 'hand over'))
        if how == 'isolate':
            self.daemons.net.isolate([leader.name])
        elif how == 'crash':
            await self.daemons.crash(leader.name, 60)
        else:
            with contextlib.suppress(ConsensusError):
                await leader.control.replica.transfer_leadership()

    def _check(self) -> None:
        terms = set()
        for service, engine in self.engines.items():
            newest = 0
            for entry in engine.entries:
                if entry.outcome != 'accepted':
                    continue
                self.report.accepted += 1
                terms.add(entry.term)
                if entry.term < newest:
                    what = f'{service}: an order of term {entry.term} took effect after {newest}'
                    self.report.violations.append(what)
                newest = max(newest, entry.term)
        self.report.leaders = len(terms)


def run_order_schedule(seed: int, enforcing: bool = True, changes: int = 4) -> OrderReport:
    """Runs one schedule of orders in an event loop of its own.

    :param seed: seed.
    :param enforcing: False: the engine that should check numbers does not.
    :param changes: number of changes of leadership.
    """
    return run_virtually(OrderSchedule(seed, enforcing).run(changes))


def check_settings_schedule(seed: int) -> None:
    """Runs one schedule of settings.

    :param seed: seed.
    :raises AssertionError: if a guarantee was broken.
    """
    _raise_if_any(run_schedule(seed).violations)


def check_order_schedule(seed: int) -> None:
    """Runs one schedule of orders.

    :param seed: seed.
    :raises AssertionError: if a guarantee was broken.
    """
    _raise_if_any(run_order_schedule(seed).violations)


def _raise_if_any(violations: list[str]) -> None:
    if violations:
        raise AssertionError(violations)
