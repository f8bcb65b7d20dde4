"""Guards engines against requests that crash them, at several numbers of entries.

Pattern: one shared prompt part ends every engine that begins to answer it. Such requests come at
any entry, no two alike, and have their other parts in common with sound requests.
"""

import asyncio
import dataclasses
import logging
import random
import unittest

from geraniumrail.control.quarantines import EARLY_S, FIRST_S, Quarantines
from geraniumrail.errors.request import NotRunError
from geraniumrail.quarantine import crash_ledger
from geraniumrail.quarantine.part_watch import PROOF_S, TRIAL_TURN_S
from geraniumrail.testing.followers import Follower, Leader, engine
from geraniumrail.testing.virtual_loop import run_virtually

SIZES = (4, 25, 77)
SEEDS = range(4)
DEADLY = 'deadly'
PREFILL_S = 0.2
STREAM_S = 0.6
DOWN_S = 3.0
CONTACT_S = 3.0
MOST_AFTER = 3  # requests with the part that may reach engines after that
CRASHES_TOLD = 5  # crashes after which the part must be known


@dataclasses.dataclass
class Engine:
    """An engine and the requests that it works on."""

    name: str
    incarnation: int = 1
    up: bool = True
    lost: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Day:
    """Traffic of sound and deadly requests over some entries."""

    def __init__(self, entries, seed, *, deadly_share=0.05, rate_per_s=None):
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s or 4.0 * entries
        self.deadly_share = deadly_share
        self.engines = [Engine(f'engine-{number}') for number in range(max(9, entries))]
        self.leader = Leader(
            lambda leader: [
                Quarantines(
                    leader.machine, leader.publisher, leader, leader.clock, leader.clock.wall
                )
            ]
        )
        self.entries = [
            Follower(f'entry-{number:02}', self.leader, entries, self.has_ended)
            for number in range(entries)
        ]
        self.follows = {each.name: asyncio.create_task(each.follow()) for each in self.entries}
        self.jobs = asyncio.create_task(self.leader.run())
        self.crashed_at = []
        self.second_crash = asyncio.Event()
        self.deadly_sent_at = []
        self.sound = []  # (time, whether it was sent)
        self.tasks = set()

    async def has_ended(self, backend):
        known = next(each for each in self.engines if each.name == backend.instance)
        return not known.up or known.incarnation != backend.incarnation

    async def play(self, duration_s):
        end = self.now() + duration_s
        while self.now() < end:
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
            task = asyncio.create_task(self.request(self.rng.random() < self.deadly_share))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def stop(self):
        for task in (*self.tasks, *self.follows.values(), self.jobs):
            task.cancel()
        await asyncio.gather(*self.tasks, *self.follows.values(), self.jobs, return_exceptions=True)

    def now(self):
        return asyncio.get_running_loop().time()

    async def request(self, is_deadly):
        entry = self.rng.choice(self.entries)
        other = f'document-{int(self.rng.paretovariate(1)) % 40}'
        parts = ('first', other, *((DEADLY,) if is_deadly else ()))
        sent_at = self.now()
        try:
            entry.watch.require_sound('llm', parts, self.now())
        except NotRunError:
            if not is_deadly:
                self.sound.append((sent_at, False))
            return
        if not is_deadly:
            self.sound.append((sent_at, True))
        chosen = self.rng.choice([each for each in self.engines if each.up] or self.engines)
        backend = engine(chosen.name, chosen.incarnation)
        if is_deadly:
            self.deadly_sent_at.append(sent_at)
        began_at = None
        for step_s in (PREFILL_S * self.rng.uniform(0.5, 2), PROOF_S, STREAM_S):
            if await self.waited(chosen.lost, step_s):
                if began_at is None or self.now() < began_at + PROOF_S:
                    entry.watch.record_loss(backend, parts)
                return
            if is_deadly:
                self.crash(chosen)
                entry.watch.record_loss(backend, parts)
                return
            began_at = began_at or self.now()
            if self.now() >= began_at + PROOF_S:
                entry.watch.record_answer('llm', parts, began_at)

    async def waited(self, event, limit_s):
        try:
            async with asyncio.timeout(limit_s):
                await event.wait()
        except TimeoutError:
            return False
        return True

    def crash(self, chosen):
        self.crashed_at.append(self.now())
        if len(self.crashed_at) == 2:
            self.second_crash.set()
        chosen.up = False
        chosen.lost.set()
        chosen.lost = asyncio.Event()
        asyncio.get_running_loop().call_later(DOWN_S, self.revive, chosen)

    def revive(self, chosen):
        chosen.up = True
        chosen.incarnation += 1

    def replace_entry(self, number):
        """Restarts an entry: it knows nothing until its first update."""
        old = self.entries[number]
        self.follows.pop(old.name).cancel()
        made = Follower(old.name, self.leader, len(self.entries), self.has_ended)
        self.entries[number] = made
        self.follows[made.name] = asyncio.create_task(made.follow())

    def sent_too_late(self):
        """Returns how many deadly requests reached engines when the part had to be known."""
        if len(self.crashed_at) < CRASHES_TOLD:
            return 0
        due = self.crashed_at[CRASHES_TOLD - 1] + CONTACT_S
        return sum(at > due for at in self.deadly_sent_at)

    def sound_share(self, since):
        sent = [was_sent for at, was_sent in self.sound if at >= since]
        return sum(sent) / max(1, len(sent))


def played(entries, seed, work=None, **options):
    """Plays a day of 20 s, with some work beside it, and returns it."""

    async def play():
        day = Day(entries, seed, **options)
        await asyncio.sleep(1)
        beside = asyncio.create_task(work(day)) if work else None
        await day.play(20)
        if beside is not None:
            await beside
        await day.stop()
        return day

    return run_virtually(play())


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_deadly_part_is_held_back_after_a_few_crashes(self):
        """Requests of one kind crashed engine after engine: nothing remembered what they shared."""
        for entries in SIZES:
            for seed in SEEDS:
                with self.subTest(entries=entries, seed=seed):
                    day = played(entries, seed)
                    self.assertGreaterEqual(len(day.crashed_at), crash_ledger.MIN_CRASHES)
                    self.assertLessEqual(day.sent_too_late(), MOST_AFTER)
                    held = day.leader.machine.tables.quarantines_by_label
                    self.assertEqual([each.parts for each in held.values()], [(DEADLY,)])

    def test_sound_requests_with_the_other_parts_are_sent(self):
        """Sound requests share their first part, and their caller, with the deadly ones."""
        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 1)
                self.assertGreater(day.sound_share(since=0), 0.98)

    def test_crashes_for_other_reasons_hold_nothing_back(self):
        """Engines that end by themselves have common prompts in progress each time."""

        async def crash_often(day):
            for _ in range(12):
                await asyncio.sleep(1.5)
                day.crash(day.rng.choice([each for each in day.engines if each.up]))

        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 2, crash_often, deadly_share=0)
                self.assertEqual(day.sound_share(since=0), 1.0)

    def test_quarantine_outlives_leaders_and_entries(self):
        """A new leader and a restarted entry know nothing of the crashes before."""

        async def restart(day):
            await asyncio.sleep(10)
            day.leader.restart()
            await asyncio.sleep(2)
            for number in range(0, len(day.entries), 2):
                day.replace_entry(number)
                await asyncio.sleep(0.1)

        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 3, restart)
                self.assertLessEqual(day.sent_too_late(), MOST_AFTER)

    def test_evidence_outlives_a_leader(self):
        """Two crashes were known to a leader that was lost before the third."""

        async def change_leader_after_two(day):
            await day.second_crash.wait()
            await asyncio.sleep(0.3)
            day.leader.restart()

        day = played(4, 1, change_leader_after_two, rate_per_s=4, deadly_share=0.1)
        found_at = day.crashed_at[crash_ledger.MIN_CRASHES - 1]
        before_trial = [at for at in day.crashed_at if at < found_at + EARLY_S]
        self.assertEqual(len(before_trial), crash_ledger.MIN_CRASHES)
        self.assertLessEqual(len(day.crashed_at), crash_ledger.MIN_CRASHES + 1)

    def test_quarantine_ends_with_a_trial_that_is_answered(self):
        """The engines were mended: requests with the part must be served again."""

        async def play():
            day = Day(4, 1)
            await day.play(20)
            found = dict(day.leader.machine.tables.quarantines_by_label)
            day.crash = lambda chosen: None
            await asyncio.sleep(FIRST_S)
            for entry in day.entries * 3:
                await asyncio.sleep(TRIAL_TURN_S / 2)
                try:
                    entry.watch.require_sound('llm', (DEADLY,), day.now())
                except NotRunError:
                    continue
                entry.watch.record_answer('llm', (DEADLY,), day.now())
            await asyncio.sleep(2)
            left = dict(day.leader.machine.tables.quarantines_by_label)
            await day.stop()
            return found, left

        found, left = run_virtually(play())
        self.assertEqual((len(found), len(left)), (1, 0))

    def test_failed_trials_become_rarer(self):
        """Each trial of a part that is still deadly ends all requests of an engine."""

        async def play():
            day = Day(4, 1, rate_per_s=4)
            await day.play(20 * 60)
            trials = [at for at in day.deadly_sent_at if at > day.crashed_at[0] + FIRST_S / 2]
            await day.stop()
            return len(trials)

        self.assertEqual(run_virtually(play()), 2)


if __name__ == '__main__':
    unittest.main()
