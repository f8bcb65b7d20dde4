"""Version moves through processes, judged from engine journals and the logs of the entries."""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import math
import pathlib
from typing import Any

import aiohttp

from geraniumrail.standins.answer import expected_text
from geraniumrail.testing.caller import Caller
from geraniumrail.testing.deployment import ADMIN, Deployment
from geraniumrail.testing.layout import ORGANISATIONS

SERVICE = 'model-bench'
CANARY_SHARE = 0.05
POLL_S = 0.2
BREAKER_LIMIT_S = 2.0
MARGIN_S = 1.0  # a request chosen before the limit may reach the journal after it
ENDED_MARGIN_S = 3.0  # one update to each entry, or a new stream after a change of leader
SIGMAS = 4
_ROUTES = ('chat', 'review')


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveCase:
    """What the new version does wrong, and what happens during the move."""

    name: str
    end: str  # expected phase at the end
    fault: dict[str, Any] | None = None  # of the new engines, from their start
    fault_at_share: float = 0  # the fault is set when the share has reached this
    callers: int = 8
    pause_s: float = 0.1
    tokens: int = 4
    deadline_s: float = 30
    old_engines: int = 3
    new_engines: int = 3
    kill_leader_at_share: float = 0


@dataclasses.dataclass
class MoveReport:
    """What was seen; `problems` is empty if every guarantee held."""

    case: str
    phase: str = ''
    reason: str = ''
    took_s: float = 0
    asked: int = 0
    unproven: tuple[int, int] = (0, 0)  # requests at the new version, and all, while unproven
    late: int = 0  # requests at the new version after the breakers' limit or the end
    problems: list[str] = dataclasses.field(default_factory=list)

    def __str__(self) -> str:
        state = f'FAILED {"; ".join(self.problems)}' if self.problems else 'ok'
        return (
            f'{self.case}: {state}: {self.phase} after {self.took_s:.1f} s, {self.asked} requests, '
            f'{self.unproven[0]} of {self.unproven[1]} at the new version while unproven, '
            f'{self.late} late ({self.reason})'
        )


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One attempt in the journal of an engine."""

    at: float  # wall seconds
    is_new: bool


class MoveRun:
    """One move with traffic in a running deployment."""

    def __init__(
        self, deployment: Deployment, session: aiohttp.ClientSession, case: MoveCase
    ) -> None:
        """Prepares the run.

        :param deployment: entries are running.
        :param session: HTTP client.
        :param case: what to do.
        """
        self.report = MoveReport(case.name)
        self.move_id = f'move-{case.name}'
        self.shares: list[tuple[float, float]] = []  # recorded (wall seconds, share)
        self._deployment = deployment
        self._session = session
        self._case = case
        self._engines: dict[str, bool] = {}  # by name: whether it serves the new version
        self._ended = asyncio.Event()
        self._faulty = False
        self._killed = False

    async def run(self) -> MoveReport:
        """Starts engines and traffic, moves, and judges."""
        await self._start_engines()
        case = self._case
        async with asyncio.TaskGroup() as tasks:
            for number in range(case.callers):
                tasks.create_task(self._talk(number))
            await asyncio.sleep(2)  # traffic before the move, which the breakers compare with
            move = await self._move()
            await asyncio.sleep(ENDED_MARGIN_S + 2)  # traffic after the end
            self._ended.set()
        self.report.phase = move['phase']
        self.report.reason = move['reason']
        self.report.took_s = move['ended_at'] - move['started_at']
        self._judge(move, await self._arrivals())
        return self.report

    async def _start_engines(self) -> None:
        case = self._case
        options = ['--token-ms', '15']
        for number in range(case.old_engines):
            await self._start_engine(f'old-{number}', options, 'v1')
        if case.fault and not case.fault_at_share:
            options += ['--fault', json.dumps(case.fault)]
        for number in range(case.new_engines):
            await self._start_engine(f'new-{number}', options, 'v2')
        await self._deployment.until_served(case.old_engines + case.new_engines)

    async def _start_engine(self, name: str, options: list[str], version: str) -> None:
        await self._deployment.start_engine(name, *options, version=version)
        self._engines[name] = version == 'v2'

    async def _talk(self, caller: int) -> None:
        entries = [place.callers for place in self._deployment.places]
        organisation = ORGANISATIONS[caller % len(ORGANISATIONS)]
        client = Caller(self._session, entries, organisation, seed=caller)
        number = caller
        while not self._ended.is_set():
            prompt = f'{self.move_id} request {number}'
            route = _ROUTES[number // self._case.callers % 2]
            text = await client.chat_until_done(prompt, self._case.tokens, route)
            self.report.asked += 1
            if text != expected_text(f'user: {prompt}', self._case.tokens):
                self.report.problems.append(f'request {number} got {text!r}')
            number += self._case.callers
            await asyncio.sleep(self._case.pause_s)

    async def _move(self) -> dict[str, Any]:
        body = {
            'move_id': self.move_id,
            'service': SERVICE,
            'to_version': 'v2',
            'deadline_s': self._case.deadline_s,
        }
        move = await self._deployment.operate('POST', f'{ADMIN}/moves', body)
        loop = asyncio.get_running_loop()
        limit = loop.time() + self._case.deadline_s + 40
        while move['phase'] == 'running':
            if loop.time() > limit:
                self.report.problems.append('no recorded end')
                break
            await asyncio.sleep(POLL_S)
            move = await self._deployment.operate('GET', f'{ADMIN}/moves/{self.move_id}')
            if not self.shares or self.shares[-1][1] != move['share']:
                self.shares.append((move['stepped_at'], move['share']))
            await self._disturb(move)
        return move

    async def _disturb(self, move: dict[str, Any]) -> None:
        case = self._case
        if case.fault_at_share and not self._faulty and move['share'] >= case.fault_at_share:
            self._faulty = True
            faulty = [name for name, is_new in self._engines.items() if is_new]
            for name in faulty:
                url = f'http://{self._deployment.addresses_by_name[name]}/v1/faults'
                async with self._session.post(url, json=case.fault) as answer:
                    answer.raise_for_status()
        kill_at = case.kill_leader_at_share
        if kill_at and not self._killed and move['share'] >= kill_at:
            self._killed = True
            leader = await self._deployment.leader()
            if leader is not None:
                await self._deployment.processes_by_name[leader.name].kill()

    async def _arrivals(self) -> list[Arrival]:
        arrivals = []
        for name, is_new in self._engines.items():
            url = f'http://{self._deployment.addresses_by_name[name]}/v1/journal'
            async with self._session.get(url) as answer:
                requests = (await answer.json())['requests']
            arrivals += [Arrival(work['started_at'], is_new) for work in requests]
        return arrivals

    def _judge(self, move: dict[str, Any], arrivals: list[Arrival]) -> None:
        report, case = self.report, self._case
        if report.phase != case.end:
            report.problems.append(f'ended {report.phase} instead of {case.end}')
        if report.phase == 'done' and move['ended_at'] > move['started_at'] + case.deadline_s:
            report.problems.append('done after its deadline')
        proven = next((at for at, share in self.shares if share > CANARY_SHARE), move['ended_at'])
        unproven = [each.is_new for each in arrivals if move['started_at'] <= each.at < proven]
        report.unproven = (sum(unproven), len(unproven))
        mean = CANARY_SHARE * len(unproven)
        if sum(unproven) > mean + SIGMAS * math.sqrt(mean) + 1:
            report.problems.append(f'{sum(unproven)} of {len(unproven)} while unproven')
        if report.phase != 'done':
            self._judge_late(move, arrivals)

    def _judge_late(self, move: dict[str, Any], arrivals: list[Arrival]) -> None:
        new = [each.at for each in arrivals if each.is_new]
        late = [at for at in new if at > move['ended_at'] + ENDED_MARGIN_S]
        opened = self.breakers_opened_at()
        if len(opened) == len(self._deployment.places):
            # The breakers of all entries have opened for all routes, so nothing new may be sent.
            limit = max(opened.values()) + BREAKER_LIMIT_S + MARGIN_S
            late += [at for at in new if limit < at <= move['ended_at']]
        self.report.late = len(late)
        if late:
            self.report.problems.append(f'{len(late)} requests at the new version too late')

    def breakers_opened_at(self) -> dict[str, float]:
        """Returns when the breaker of the whole version opened at each entry, in wall seconds."""
        opened: dict[str, float] = {}
        for place in self._deployment.places:
            log = self._deployment.folder / f'{place.name}.log'
            for line in log.read_text().splitlines():
                if 'E0600 ' in line and 'route=""' in line:
                    opened.setdefault(place.name, _time_of(line))
        return opened


def _time_of(line: str) -> float:
    """Reads the time of a line of absl, such as `W1204 05:11:19.123456 ...`."""
    year = datetime.datetime.now().year
    stamp = ' '.join(line.split()[:2])[1:]
    return datetime.datetime.strptime(f'{year}{stamp}', '%Y%m%d %H:%M:%S.%f').timestamp()


CASES = (
    MoveCase(name='good', end='done', deadline_s=40),
    MoveCase(name='good-full', end='done', callers=24, pause_s=0, deadline_s=28, new_engines=4),
    MoveCase(name='fails', end='taken_back', fault={'mode': 'fail'}),
    MoveCase(name='slow', end='taken_back', fault={'mode': 'slow', 'factor': 8}),
    MoveCase(name='fails-later', end='taken_back', fault={'mode': 'fail'}, fault_at_share=0.15),
    MoveCase(
        name='fails-under-load',
        end='taken_back',
        fault={'mode': 'fail', 'above_running': 2},
        callers=16,
        pause_s=0.02,
    ),
    MoveCase(
        name='fails-on-route',
        end='taken_back',
        fault={'mode': 'fail', 'route': 'review'},
    ),
    MoveCase(name='leader-killed', end='done', kill_leader_at_share=0.05, deadline_s=60),
)


async def run_case(folder: pathlib.Path, case: MoveCase) -> MoveReport:
    """Runs one case in a deployment of its own.

    :param folder: an empty folder.
    :param case: what to do.
    """
    deployment = Deployment(folder)
    timeout = aiohttp.ClientTimeout(total=60)
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession(timeout=timeout))
        stack.push_async_callback(deployment.stop)
        await deployment.start()
        return await MoveRun(deployment, session, case).run()
