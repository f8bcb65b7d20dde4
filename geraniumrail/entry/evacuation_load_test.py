"""Guards where the load of an evacuated data centre goes, without a network.

Pattern: three data centres share the requests of many entries evenly; one is evacuated at once and
comes back. Engines differ in speed; the organisations of the requests don't matter here.
"""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import random
import unittest

from geraniumrail.core.load_report import LoadReport
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.links.messages import EntryInfo, EntryReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.request import PlainRequest
from geraniumrail.state.set_evacuation import SetEvacuation
from geraniumrail.testing.followers import Leader, engine
from geraniumrail.testing.virtual_loop import LoopClock, run_virtually

SIZES = (4, 33, 77)
CENTRES = ('shah-alam', 'petaling', 'cheras')
SPEEDS = (0.6, 1.0, 1.6, 1.0)
ENGINES = len(CENTRES) * len(SPEEDS)
SLOTS, WORK_S, BUSY = 6, 0.25, 0.4  # of all engines together
PER_S = BUSY * SLOTS * len(CENTRES) * sum(SPEEDS) / WORK_S
START_S, END_S, LAST_S = 4.0, 8.0, 11.0
TOLD_S = 0.5  # far below the bound of 5 s
SETTLED_S = 1.5


class Engine:
    """Works on as many requests as it has slots; the others wait."""

    def __init__(self, number):
        self.name, self.data_centre = f'i-{number}', CENTRES[number % len(CENTRES)]
        self.speed = SPEEDS[number // len(CENTRES)]
        self.free = asyncio.Semaphore(SLOTS)
        self.asked = self.running = self.sequence = 0

    async def work(self):
        self.asked += 1
        try:
            async with self.free:
                self.running += 1
                await asyncio.sleep(WORK_S / self.speed)
                self.running -= 1
        finally:
            self.asked -= 1

    def load(self):
        return LoadReport(running=self.running, queued=self.asked - self.running, slots=SLOTS)

    def announcement(self):
        self.sequence += 1
        fields = {'data_centre': self.data_centre, 'sequence': self.sequence, 'lease_s': 6}
        return dataclasses.replace(engine(self.name, 1, load=self.load()), **fields)


class Entry:
    """Knows what the leader's updates and the answers tell it."""

    def __init__(self, number, leader):
        self.view = ClusterView(LoopClock(), BackendTracker())
        self.info = EntryInfo(
            entry=f'e-{number}',
            instance='',
            address='',
            peer_address='',
            data_centre='',
            region='',
        )
        self.leader = leader

    async def follow(self):
        stream = self.leader.publisher.stream_updates(self.reports())
        async with contextlib.aclosing(stream) as updates:
            async for update in updates:
                self.view.take(update, LoopClock().now())

    async def reports(self):
        sequence = 0
        while True:
            sequence += 1
            version = self.view.registry_version
            yield EntryReport(sequence=sequence, info=self.info, registry_version=version)
            await asyncio.sleep(1)

    def choose(self, rng):
        now = LoopClock().now()
        request = PlainRequest(request_id='r', service='llm', data_centre='', region='')
        view = self.view
        return choose(view.usable('llm'), request, view.knowledge, rng, now).backend.instance


class Day:
    """One evacuation under load."""

    def __init__(self, entries):
        self.rng = random.Random(entries)
        self.leader = Leader(lambda leader: [])
        self.engines = {made.name: made for made in map(Engine, range(ENGINES))}
        self.entries = [Entry(number, self.leader) for number in range(entries)]
        self.sent = []  # (seconds since the start, data centre, seconds until the answer)
        self.began = LoopClock().now()

    def now(self):
        return LoopClock().now() - self.began

    async def announce(self):
        while True:
            for made in self.engines.values():
                self.leader.publisher.receive_announcement(made.announcement())
            await asyncio.sleep(1)

    async def ask(self, entry):
        sent_at = self.now()
        name = entry.choose(self.rng)
        made, knowledge = self.engines[name], entry.view.knowledge
        knowledge.record_sent(name, 1, (), LoopClock().now())
        await made.work()
        knowledge.record_finished(name, 1, LoopClock().now())
        knowledge.observe_load(name, made.load(), LoopClock().now())
        self.sent.append((sent_at, made.data_centre, self.now() - sent_at))

    async def set_evacuated(self, evacuated, after):
        await self.leader.propose(
            SetEvacuation(
                data_centre=CENTRES[0], evacuated=evacuated, after=after, operator='o', at=0
            )
        )

    async def send(self):
        while self.now() < LAST_S:
            await asyncio.sleep(self.rng.expovariate(PER_S))
            yield asyncio.create_task(self.ask(self.rng.choice(self.entries)))

    async def play(self):
        tasks = [asyncio.create_task(self.announce())]
        tasks += [asyncio.create_task(entry.follow()) for entry in self.entries]
        await asyncio.sleep(1.5)
        self.began = LoopClock().now()
        asked, changes = [], [(START_S, True), (END_S, False)]
        async for task in self.send():
            asked.append(task)
            if changes and self.now() >= changes[0][0]:
                await self.set_evacuated(changes.pop(0)[1], 1 - len(changes))
        await asyncio.gather(*asked)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def between(self, start, end):
        return [each for each in self.sent if start <= each[0] < end]


class EvacuationLoadTest(unittest.TestCase):
    def test_other_data_centres_take_over_evenly(self):
        """The third of the demand went to one data centre, or waited, or came there again."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for entries in SIZES:
            with self.subTest(entries=entries):
                self.check(entries)

    def check(self, entries):
        async def run():
            day = Day(entries)
            await day.play()
            return day

        day = run_virtually(run())
        during = day.between(START_S + TOLD_S, END_S)
        counts = collections.Counter(centre for _, centre, _ in during)
        self.assertEqual(counts[CENTRES[0]], 0)
        self.assertGreater(min(counts[name] for name in CENTRES[1:]), 0.4 * len(during))
        # Two thirds of the engines are enough for the demand: nobody waits for long.
        settled = sorted(took for _, _, took in day.between(START_S + SETTLED_S, END_S))
        self.assertLess(settled[len(settled) * 9 // 10], 4 * WORK_S)
        after = collections.Counter(
            centre for _, centre, _ in day.between(END_S + SETTLED_S, LAST_S)
        )
        self.assertGreater(after[CENTRES[0]], 0.2 * after.total())


if __name__ == '__main__':
    unittest.main()
