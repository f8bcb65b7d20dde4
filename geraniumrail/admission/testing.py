"""Entries, plain servers and callers in virtual time, for tests of admission without a network."""

import asyncio
import collections
import dataclasses
import random

from geraniumrail.admission.ask import Ask
from geraniumrail.admission.service_gate import ServiceGate
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.request import NotRunError
from geraniumrail.testing.virtual_loop import LoopClock

TARGET_S = 0.206
WORK_S = 0.045
TRIP_S = 0.002
TIME_LIMIT_S = 3.0
FAILED_SHARE = 1 / 7
FULL_RETRY_S = 0.1


class RefusedByServerError(Exception):
    def __init__(self, load):
        super().__init__()
        self.load = load


class ServerFailedError(Exception):
    """Status 500."""


class PlainServer:
    """Six slots and a queue of 24 by default."""

    def __init__(self, name, rng, work_s=WORK_S, slots=6, queue=24):
        self.name, self.rng, self.work_s, self.slots, self.queue = name, rng, work_s, slots, queue
        self.running = 0
        self.line = collections.deque()
        self.is_up = True
        self.peak = 0
        self.served = self.refused = 0

    def load(self):
        return LoadReport(running=self.running, queued=len(self.line), slots=self.slots)

    async def serve(self, fails=False):
        """Works on one request and returns the load at its end."""
        await asyncio.sleep(TRIP_S)
        if not self.is_up:
            raise ConnectionError
        if self.running < self.slots:
            self.running += 1
        elif len(self.line) < self.queue:
            turn = asyncio.Future()
            self.line.append(turn)
            self.peak = max(self.peak, len(self.line))
            await turn
        else:
            self.refused += 1
            load = self.load()
            await asyncio.sleep(TRIP_S)
            raise RefusedByServerError(load)
        await asyncio.sleep(self.work_s * self.rng.uniform(0.8, 1.2))
        self.running -= 1
        if self.line:
            self.running += 1
            self.line.popleft().set_result(None)
        self.served += 1
        load = self.load()
        await asyncio.sleep(TRIP_S)
        if not self.is_up:
            raise ConnectionError
        return load, fails


class Entry:
    """Sends at once, or through a gate."""

    def __init__(self, name, servers, rng, entries, gated):
        self.name, self.rng = name, rng
        self.servers_by_name = {server.name: server for server in servers}
        self.loads = {server.name: (0, LoadReport(slots=6)) for server in servers}
        self.own = collections.Counter()
        self.gate = ServiceGate(LoopClock(), lambda: entries) if gated else None
        self.frozen_until = 0
        self.is_up = True

    def ask(self, organisation, route, target_s, arrived_at, repeat=False):
        return Ask(
            organisation=organisation,
            route=route,
            target_s=target_s,
            due_at=arrived_at + (target_s or TIME_LIMIT_S),
            ends_at=arrived_at + TIME_LIMIT_S,
            is_repeat=repeat,
        )

    async def serve(self, organisation, route, target_s=TARGET_S, attempts=1):
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        excluded = frozenset()
        for attempt in range(attempts):
            ups = frozenset(n for n, s in self.servers_by_name.items() if s.is_up)
            instances = ups - excluded or ups
            place = None
            if self.gate is not None:
                ask = self.ask(organisation, route, target_s, arrived_at, attempt > 0)
                place = await self.gate.enter(ask, instances)
                instances = place.instances
            sample = self.rng.sample(sorted(instances), min(2, len(instances)))
            chosen = min(sample, key=self.expected)
            if place is not None:
                place.take(chosen)
            failing = route == 'safe' and self.rng.random() < FAILED_SHARE
            self.own[chosen] += 1
            sent_at = loop.time()
            try:
                load, failed = await self.servers_by_name[chosen].serve(failing)
            except RefusedByServerError as error:
                self.observe(chosen, error.load)
                excluded |= {chosen}
                if attempt + 1 == attempts or len(ups) == 1:
                    raise NotRunError(reason='full', retry_after_s=FULL_RETRY_S) from None
                continue
            finally:
                self.own[chosen] -= 1
            self.observe(chosen, load)
            if self.gate is not None:
                self.gate.answered(chosen, loop.time() - sent_at)
            if not failed or attempt + 1 == attempts or len(ups) == 1:
                return not failed
            excluded |= {chosen}

    def expected(self, name):
        at, load = self.loads[name]
        return load.running + load.queued + 3 * self.own[name]

    def observe(self, name, load):
        self.loads[name] = (asyncio.get_running_loop().time(), load)
        if self.gate is not None:
            self.gate.observe(name, load)


@dataclasses.dataclass
class Tally:
    """What callers of one organisation and route got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    rejected: int = 0


class Play:
    """Callers in groups of about three, who return once."""

    def __init__(self, seed, entries, servers, gated, same_entry=False, work_s=WORK_S):
        self.rng = random.Random(seed)
        self.servers = [
            PlainServer(f'i-{at}', random.Random(f'{seed}-{at}'), work_s) for at in range(servers)
        ]
        self.entries = [
            Entry(at, self.servers, random.Random(f'{seed}-e{at}'), entries, gated)
            for at in range(entries)
        ]
        self.tallies = collections.defaultdict(Tally)
        self.same_entry = same_entry
        self.served_meanwhile = 0  # before the last arrivals are worked off
        self.tasks = set()

    def start(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def callers(self, per_s, seconds, organisation='salon', size=3):
        """Groups of callers of one organisation."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.expovariate(per_s / size))
            entry = self.rng.choice(self.live())
            for _ in range(self.rng.choice((size - 1, size, size + 1)) if size > 1 else 1):
                route = self.rng.choice(('safe', 'unsafe'))
                self.start(self.call(organisation, route, entry if self.same_entry else None))
        self.served_meanwhile = sum(server.served for server in self.servers)
        while self.tasks:
            await asyncio.wait(self.tasks)

    def live(self):
        return [entry for entry in self.entries if entry.is_up]

    async def call(self, organisation, route, entry=None):
        loop = asyncio.get_running_loop()
        began = loop.time()
        tally = self.tallies[organisation, route]
        tally.asked += 1
        for last in (False, True):
            entry = entry or self.rng.choice(self.live())
            try:
                whole = await entry.serve(organisation, route, attempts=2 if route == 'safe' else 1)
            except NotRunError as error:
                if not last:
                    await asyncio.sleep(error.fields['retry_after_s'] * self.rng.uniform(0.5, 1.5))
                    entry = None
                    continue
                tally.rejected += 1
            except ConnectionError:
                tally.failed += 1
            else:
                if not whole:
                    tally.failed += 1
                elif loop.time() - began <= TARGET_S:
                    tally.in_time += 1
                else:
                    tally.late += 1
            return

    def total(self):
        total = Tally()
        for tally in self.tallies.values():
            for field in dataclasses.fields(tally):
                name = field.name
                setattr(total, name, getattr(total, name) + getattr(tally, name))
        return total
