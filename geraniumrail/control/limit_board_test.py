"""Guards engines that name a limit against the sum of what the entries send, at several sizes.

Pattern: each engine names the requests a second that it takes from all entries together, for as
long as it needs; entries start, stop and hear of it at different times.
"""

import asyncio
import collections
import logging
import random
import unittest

from geraniumrail.control.limit_board import LEAST_PER_S, LimitBoard
from geraniumrail.routing.engine_limits import EngineLimits
from geraniumrail.testing.followers import Follower, Leader, engine
from geraniumrail.testing.virtual_loop import run_virtually

SIZES = (4, 25, 77)
ENGINES = 12
PER_S = 1.5
ANSWER_S = 0.2
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
MOST = 1.5 * PER_S * WINDOW_S + 5  # requests in a window


class Day:
    """Each entry sends to a random engine that is open to it."""

    def __init__(self, entries, seed, rate_per_s):
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.leader = Leader(lambda leader: [])
        self.engines = [engine(f'engine-{number}', 1) for number in range(ENGINES)]
        self.limit_per_s = None
        self.named_at = {}
        self.told_at = {}  # by entry and engine
        self.arrivals = collections.defaultdict(list)
        self.refused = []
        self.count = entries
        self.entries = []
        self.tasks = {}
        for number in range(entries):
            self.start_entry(number)
        self.answers = set()
        self.is_over = False

    def start_entry(self, number):
        """Starts an entry, or starts it again: it knows nothing until its first update."""
        name = f'entry-{number}'
        made = Follower(name, self.leader, self.count, probe=None)
        if name in self.tasks:
            self.tasks.pop(name).cancel()
            self.entries[number] = made
        else:
            self.entries.append(made)
        self.told_at = {key: at for key, at in self.told_at.items() if key[0] != name}
        self.tasks[name] = asyncio.create_task(made.follow())

    def now(self):
        return asyncio.get_running_loop().time()

    async def send(self):
        while not self.is_over:
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
            entry = self.rng.choice(self.entries)
            now = self.now()
            if now >= entry.lease_until:
                continue
            open_engines = [
                each for each in self.engines if entry.limits.is_open(each.instance, now)
            ]
            if not open_engines:
                self.refused.append(now)
                continue
            chosen = self.rng.choice(open_engines)
            entry.limits.take(chosen.instance, now)
            self.arrivals[chosen.instance].append((now, entry.name))
            task = asyncio.create_task(self.answer(entry, chosen))
            self.answers.add(task)
            task.add_done_callback(self.answers.discard)

    async def answer(self, entry, chosen):
        await asyncio.sleep(ANSWER_S * self.rng.uniform(0.5, 2))
        entry.limits.named(chosen, self.limit_per_s, self.now())
        if self.limit_per_s is not None:
            self.named_at.setdefault(chosen.instance, self.now())
            self.told_at.setdefault((entry.name, chosen.instance), self.now())

    def excess(self):
        """Returns by how much the fullest window exceeds what the limits allow."""
        return max(
            (
                self.in_window(instance, start) - MOST
                for instance, arrivals in self.arrivals.items()
                for start, _ in arrivals
                if start >= self.named_at.get(instance, self.now()) + CONTACT_S
            ),
            default=-MOST,
        )

    def in_window(self, instance, start):
        return sum(
            start <= at < min(start + WINDOW_S, self.ended_at)
            and at >= self.told_at.get((name, instance), self.now()) + TOLD_S
            for at, name in self.arrivals[instance]
        )


def played(entries, seed, work=None, rate_per_s=None):
    """Plays 20 s in which all engines name a limit, with some work beside it, and 5 s without."""

    async def play():
        day = Day(entries, seed, rate_per_s or max(60, 4 * entries))
        sending = asyncio.create_task(day.send())
        await asyncio.sleep(3)
        day.limit_per_s = PER_S
        beside = asyncio.create_task(work(day)) if work else None
        await asyncio.sleep(20)
        day.limit_per_s = None
        day.ended_at = day.now()
        await asyncio.sleep(5)
        day.is_over = True
        for task in (sending, beside, *day.tasks.values()):
            if task is not None:
                task.cancel()
        day.last_refused_at = max(day.refused, default=0)
        return day, day.excess()

    return run_virtually(play())


class LimitBoardTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_entries_together_stay_within_a_limit(self):
        """Each entry obeyed nothing, or by itself: the engine got what they sent together."""
        for entries in SIZES:
            for seed in range(3):
                with self.subTest(entries=entries, seed=seed):
                    _, excess = played(entries, seed)
                    self.assertLessEqual(excess, 0)

    def test_limit_is_used(self):
        """Holding back more than an engine asks for is refused to callers for nothing."""
        for entries in SIZES:
            with self.subTest(entries=entries):
                day, _ = played(entries, 1)
                told = min(day.named_at.values()) + CONTACT_S
                sent = sum(
                    told <= at < day.ended_at
                    for arrivals in day.arrivals.values()
                    for at, _ in arrivals
                )
                self.assertGreater(sent, 0.8 * ENGINES * PER_S * (day.ended_at - told))

    def test_limit_ends_with_the_first_answer_that_names_none(self):
        """Entries that send nothing to an engine don't hear by themselves that it has recovered."""
        for entries in SIZES:
            with self.subTest(entries=entries):
                day, _ = played(entries, 2)
                self.assertLess(day.last_refused_at, day.ended_at + 2)

    def test_limit_outlives_leaders_and_entries(self):
        """A new leader and a restarted entry know nothing of the limits named before."""

        async def restart(day):
            await asyncio.sleep(6)
            day.leader.restart()
            await asyncio.sleep(3)
            for number in range(0, day.count, 3):
                day.start_entry(number)
                await asyncio.sleep(0.1)

        for entries in SIZES:
            with self.subTest(entries=entries):
                _, excess = played(entries, 3, restart)
                self.assertLessEqual(excess, 0)

    def test_engine_that_takes_nothing_is_asked_again(self):
        """Without requests an engine cannot say that it takes some again."""
        board = LimitBoard()
        limits = EngineLimits()
        limits.named(engine('engine-1', 1), 0, 10)
        board.observe(limits.report(10), 10)
        self.assertEqual(board.rates('entry-1', ('entry-1',)), {'engine-1': LEAST_PER_S})

    def test_limit_is_forgotten_with_its_engine(self):
        """Limits of engines that are gone would fill every update."""
        board = LimitBoard()
        limits = EngineLimits()
        limits.named(engine('engine-1', 1), 1, 10)
        board.observe(limits.report(10), 10)
        board.expire({'engine-1'}, 1000)
        self.assertEqual(set(board.rates('entry-1', ('entry-1',))), {'engine-1'})
        board.expire(set(), 1000)
        self.assertEqual(board.rates('entry-1', ('entry-1',)), {})


if __name__ == '__main__':
    unittest.main()
