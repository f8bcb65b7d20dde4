"""Guards planned departures: no new work at what leaves, and no request of a caller is cut off."""

import asyncio
import dataclasses
import random
import time
import unittest

from geraniumrail.standins.answer import expected_text
from geraniumrail.testing.case import DeploymentCase
from geraniumrail.testing.deployment import ADMIN

NEW_WORK_LIMIT_S = 3.0
WATCH_S = 1.5  # how long the journal is watched after the limit
KEEP_FOR_S = 1.0
ENGINE = ('--token-ms', '10', '--idle-exit-s', '120')


@dataclasses.dataclass(frozen=True)
class Record:
    """One stream as its caller saw it."""

    entry: str
    invoked_at: float
    whole: bool


class Load:
    """Concurrent callers that keep the answer of /v1/entries for its full time."""

    def __init__(self, case, pinned=()):
        self.case = case
        self.pinned = pinned
        self.records = []
        self.stopping = asyncio.Event()

    async def run(self, count):
        await asyncio.gather(*(self._call(number) for number in range(count)))

    async def _call(self, number):
        caller = self.case.caller(number)
        rng = random.Random(number)
        asked = 0
        listed_until = 0
        while not self.stopping.is_set():
            if self.pinned:
                entry = self.pinned[number % len(self.pinned)]
            else:
                if time.monotonic() >= listed_until:
                    # The time counts from the answer at the latest.
                    listed, listed_until = await caller.entries(), time.monotonic() + KEEP_FOR_S
                entry = rng.choice(listed)
            asked += 1
            prompt = f'leaving {number} {asked}'
            invoked_at = time.time()
            text = await caller.chat(prompt, 30, entry=entry)
            whole = text == expected_text(f'user: {prompt}', 30)
            self.records.append(Record(entry, invoked_at, whole))
            if not whole:
                await asyncio.sleep(0.1)


class LeavingTest(DeploymentCase):
    engines = (ENGINE,) * 4

    async def watch(self, load, since):
        """Waits until the limit after `since` has passed, and stops the load."""
        running = asyncio.create_task(load.run(9))
        at = await since()
        await asyncio.sleep(NEW_WORK_LIMIT_S + WATCH_S)
        load.stopping.set()
        await running
        return at

    async def until_used(self, engine):
        since = time.time()

        async def used():
            journal = await self.journal(engine)
            return any(work['started_at'] > since for work in journal['requests'])

        await self.deployment.until(used, f'new work at {engine}')

    async def check_no_new_work(self, engine, since):
        journal = await self.journal(engine)
        late = [
            work['started_at'] - since
            for work in journal['requests']
            if work['started_at'] > since + NEW_WORK_LIMIT_S
        ]
        self.assertEqual(late, [])
        newest = max((work['started_at'] - since for work in journal['requests']), default=0)
        print(f'{engine}: last new work {newest:.2f} s after the departure was known')

    async def leave_without_leader(self):
        leader = await self.deployment.leader()
        others = [place.callers for place in self.deployment.places if place is not leader]

        async def leave():
            await self.until_used('engine-0')
            await asyncio.gather(
                self.post('engine-0', '/v1/leave', notice_s=60),
                self.deployment.processes_by_name[leader.name].kill(),
            )
            return (await self.journal('engine-0'))['leaving_at']

        load = Load(self, others)
        leaving_at = await self.watch(load, leave)
        await self.check_no_new_work('engine-0', leaving_at)
        cut = [each for each in load.records if not each.whole and each.invoked_at < leaving_at]
        self.assertEqual(cut, [])
        await self.restart(leader)

    async def drain(self):
        async def order():
            await self.until_used('engine-1')
            body = {'target': 'engine-1', 'draining': True}
            await self.deployment.operate('POST', f'{ADMIN}/drain', body)
            return time.time()

        load = Load(self)
        drained_at = await self.watch(load, order)
        await self.check_no_new_work('engine-1', drained_at)
        self.assertTrue(all(each.whole for each in load.records))

    async def stop_entries(self):
        await self.deployment.change('/', {'keep_for_s': KEEP_FOR_S}, 1, 'keep-for')
        load = Load(self)
        running = asyncio.create_task(load.run(9))
        gaps = []
        for place in self.deployment.places:
            leads = await self.deployment.leader() is place
            stopping = asyncio.create_task(
                self.deployment.processes_by_name[place.name].terminate()
            )
            if leads:
                gaps.append(await self.gap(place))
            self.assertEqual(await stopping, 0, place.name)
            await self.restart(place)
        load.stopping.set()
        await running
        print(f'{len(load.records)} streams during planned stops; gaps without leader: {gaps}')
        self.assertEqual([each for each in load.records if not each.whole], [])
        self.assertTrue(gaps)

    async def restart(self, place):
        async def ready():
            reply = await self.caller().get('/readyz', entry=place.callers)
            return reply.status == 200

        await self.deployment.start_entry(place.name)
        await self.deployment.until(ready, f'{place.name} is not ready')

    async def gap(self, old):
        """Returns the seconds from the last sight of the old leader to the first of a new one."""
        seen_at = time.monotonic()
        while (leader := await self.deployment.leader()) in {None, old}:
            if leader is old:
                seen_at = time.monotonic()
        return round(time.monotonic() - seen_at, 2)

    def test_leaving_server_gets_no_new_work_even_without_a_leader(self):
        self.wait(self.leave_without_leader())

    def test_drained_server_gets_no_new_work(self):
        self.wait(self.drain())

    def test_planned_stop_of_each_entry_cuts_off_nothing(self):
        self.wait(self.stop_entries(), 150)


if __name__ == '__main__':
    unittest.main()
