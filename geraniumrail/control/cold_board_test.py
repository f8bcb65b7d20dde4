"""Guards cold backend servers against the sum of what the entries send, at several sizes.

Pattern: all servers of a data centre return cold in the middle of a burst, and some again soon
after; entries start, end, freeze and are cut off, and the leader changes.
"""

import asyncio
import collections
import dataclasses
import itertools
import logging
import random
import unittest

from geraniumrail.control.backend_registry import BackendRegistry
from geraniumrail.control.cold_board import Allowance, ColdBoard, ColdTolerance, Situation
from geraniumrail.control.leadership import Leadership
from geraniumrail.control.publisher import Publisher
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.routing.cold_backends import KEEP, ColdBackends
from geraniumrail.testing.followers import Follower, Leader, engine
from geraniumrail.testing.virtual_loop import run_virtually

SIZES = (4, 33, 77)
SERVERS = 4
PER_S, COLD_S = 7.3, 3.0
TOLERANCE = ColdTolerance(1.5, 5)
TIGHT = ColdTolerance(1, 3)  # three entries hold rates, so a rate that is given twice shows
SERVICES = (ServiceSpec(name='llm', cold_start_s=COLD_S, cold_per_s=PER_S),)
SETTLED_S = 6.0  # leases are known, and callers are served
KNOWN_S = 0.5  # entries in touch have heard by then
STEP_S = 0.02
GROUP_S, PAUSE_S = 2.9, 1.2  # entries save up requests in a pause
WARM_PER_S = 60  # requests a second at a warm server
LONG_COLD_S = 14.0  # in which rates change hands
LATE_SHARE = 0.2  # of the announcements


class Reign(Leadership):
    def __init__(self, leader, term):
        self.leader, self.term = leader, term

    def require_term(self):
        if self.leader.term != self.term:
            raise NotLeaderError(leader=None)
        return self.term

    def is_leader_known(self):
        return True


class ColdLeader(Leader):
    def __init__(self, tolerance):
        self.tolerance = tolerance
        super().__init__(lambda leader: [])
        self.machine.tables.deployment = Deployment(version=1, services=SERVICES)

    def restart(self):
        self.term += 1
        self.publisher = Publisher(self.machine, Reign(self, self.term), self.clock)
        self.publisher.cold_board.tolerance = self.tolerance
        self.publisher.became_leader(self.term)
        self.jobs = []


class Entry(Follower):
    """Counts its lease from the report; may be frozen, and cut off."""

    def __init__(self, name, day):
        super().__init__(name, day.leader, day.count, probe=None)
        self.day = day
        self.cold = ColdBackends()
        self.cold.follow(SERVICES)
        self.cold.on_news = self.poke
        self.sent_at = {}
        self.frozen_until = 0
        self.term = 0
        self.told = {}  # by server, number of the cold start that it has heard of

    async def follow(self):
        while True:
            try:
                await super().follow()
            except NotLeaderError:
                await asyncio.sleep(0.1)

    def build(self, sequence):
        self.sent_at[sequence] = self.day.now()
        report = super().build(sequence)
        return dataclasses.replace(
            report,
            holds_lease=self.lease_until > self.day.now(),
            cold=self.cold.report(self.day.now()),
        )

    def requeue(self):
        self.cold.requeue_all(self.day.now())

    def take(self, update):
        now = self.day.now()
        if now < self.frozen_until:
            asyncio.get_running_loop().call_at(self.frozen_until, self.take, update)
            return
        if update.term < self.term:
            return
        if update.term > self.term:
            self.requeue()
        self.term = update.term
        self.lease_until = max(self.lease_until, self.sent_at[update.answers] + update.lease_s)
        for backend in update.backends:
            self.cold.observe(backend, now)
            self.hear(
                backend.instance,
                self.day.announced_starts.get((backend.instance, backend.sequence)),
            )
        self.cold.take_rates(update.cold_rates, update.term, self.lease_until, now)

    def hear(self, instance, start):
        if start is not None:
            self.told[instance] = max(start, self.told.get(instance, 0))

    async def _reports(self):
        async for report in super()._reports():
            while self.day.now() < self.frozen_until:
                await asyncio.sleep(self.frozen_until - self.day.now() + 0.001)
                report = self.build(report.sequence)
            yield report


@dataclasses.dataclass
class Server:
    instance: str
    cold_until: float = 0
    start: int = 0  # number of its cold starts
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class Arrival:
    at: float
    was_told: bool
    entry: str


class Day:
    """Each entry sends to a random server that is open to it, as fast as it may."""

    def __init__(self, entries, seed, cold_s, tolerance):
        self.cold_s = cold_s
        self.rng = random.Random(seed)
        self.count = entries
        self.leader = ColdLeader(tolerance)
        self.bound = PER_S * tolerance.overage + tolerance.slack
        self.servers = {f'server-{at}': Server(f'server-{at}') for at in range(SERVERS)}
        self.announced_starts = {}
        self.arrivals = collections.defaultdict(list)  # at cold servers
        self.cold_times = collections.defaultdict(list)
        self.late = self.pauses = True
        self.names = itertools.count()
        self.entries, self.tasks = [], {}
        for _ in range(entries):
            self.start_entry()
        self.background = set()
        self.run(self.leader.run())
        for server in self.servers.values():
            self.run(self.announce(server))
        self.run(self.send())

    def now(self):
        return asyncio.get_running_loop().time()

    def run(self, work):
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def start_entry(self):
        entry = Entry(f'entry-{next(self.names)}', self)
        self.entries.append(entry)
        self.join(entry)

    def join(self, entry):
        self.tasks[entry.name] = asyncio.create_task(entry.follow())

    def cut(self, entry):
        self.tasks.pop(entry.name).cancel()

    def end(self, entry):
        self.cut(entry)
        self.entries.remove(entry)

    def turn_cold(self, server):
        server.cold_until = self.now() + self.cold_s
        server.start += 1
        self.cold_times[server.instance].append((self.now(), server.cold_until))
        self.run(self.announce_once(server))

    async def announce(self, server):
        while True:
            await self.announce_once(server)
            await asyncio.sleep(1)

    async def announce_once(self, server):
        server.sequence += 1
        made = engine(
            server.instance,
            1,
            sequence=server.sequence,
            lease_s=6,
            cold_s=max(0, server.cold_until - self.now()),
            data_centre='a',
        )
        if made.cold_s:
            self.announced_starts[made.instance, made.sequence] = server.start
        is_late = self.late and self.rng.random() < LATE_SHARE
        await asyncio.sleep(self.rng.uniform(0.5, 2.5) if is_late else 0.01)
        self.leader.publisher.receive_announcement(made)

    async def send(self):
        """Sends to cold servers whatever the entries allow, and to others a burst, in groups."""
        part = WARM_PER_S * STEP_S / self.count
        known = [engine(instance, 1) for instance in self.servers]
        while True:
            await asyncio.sleep(STEP_S)
            now = self.now()
            if self.pauses and now % GROUP_S < PAUSE_S:
                continue
            for entry in self.entries:
                if now >= entry.lease_until or now < entry.frozen_until:
                    continue
                for chosen in known:
                    is_wanted = entry.cold.is_cold(chosen, now) or self.rng.random() < part
                    if is_wanted and entry.cold.is_open(chosen, now):
                        self.send_one(entry, chosen, now)

    def send_one(self, entry, chosen, now):
        entry.cold.take(chosen.instance, now)
        server = self.servers[chosen.instance]
        if now < server.cold_until:
            was_told = entry.told.get(chosen.instance, 0) >= server.start
            self.arrivals[chosen.instance].append(Arrival(now, was_told, entry.name))
        self.run(self.answer(entry, chosen, server))

    async def answer(self, entry, chosen, server):
        start, cold_until = server.start, server.cold_until
        await asyncio.sleep(self.rng.uniform(0.05, 0.3))
        left_s = cold_until - self.now()
        if left_s > 0 and self.now() >= entry.frozen_until:
            entry.cold.answered(chosen, left_s, self.now())
            entry.hear(chosen.instance, start)

    def most(self, counts):
        """Returns the most requests in any second at one cold server, of those that count."""
        most = 0
        for arrivals in self.arrivals.values():
            window = collections.deque()
            for arrival in arrivals:
                if counts(arrival):
                    window.append(arrival.at)
                    while window[0] <= arrival.at - 1:
                        window.popleft()
                    most = max(most, len(window))
        return most

    def most_told(self):
        """Returns the most from entries that had been told."""
        return self.most(lambda arrival: arrival.was_told)


def played(entries, seed, work, cold_s=COLD_S, tolerance=TIGHT):
    """Plays until the work is done, beside a burst of requests."""

    async def play():
        day = Day(entries, seed, cold_s, tolerance)
        await asyncio.sleep(SETTLED_S)
        await work(day)
        for task in (*day.background, *day.tasks.values()):
            task.cancel()
        return day

    return run_virtually(play())


async def return_cold(day):
    """A whole data centre returns cold; some of its servers turn cold again under the same id."""
    for server in day.servers.values():
        day.turn_cold(server)
    await asyncio.sleep(day.rng.uniform(0.5, 5))
    for server in day.rng.sample(list(day.servers.values()), SERVERS // 2):
        day.turn_cold(server)
    await asyncio.sleep(day.cold_s + 1)


async def disturb(day):
    """Entries start, end, freeze, thaw and are cut off for a time, at random."""
    while True:
        await asyncio.sleep(day.rng.expovariate(2))
        entry = day.rng.choice(day.entries)
        kind = day.rng.choice(('start', 'end', 'freeze', 'cut'))
        if kind == 'start':
            day.start_entry()
        elif kind == 'end' and len(day.entries) > 2 and entry.name in day.tasks:
            day.end(entry)
        elif kind == 'freeze':
            entry.frozen_until = day.now() + day.rng.uniform(0.5, 7)
        elif kind == 'cut' and entry.name in day.tasks:
            day.cut(entry)
            loop = asyncio.get_running_loop()
            loop.call_later(day.rng.uniform(0.5, 7), rejoin, day, entry)


def rejoin(day, entry):
    if entry in day.entries and entry.name not in day.tasks:
        day.join(entry)


class ColdBoardTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_entries_together_stay_within_the_bound(self):
        """Each entry sent what one server tolerates: a cold one got 4, 33 or 77 times as much."""
        for entries in SIZES:
            for seed in range(3):
                with self.subTest(entries=entries, seed=seed):
                    day = played(entries, seed, return_cold, tolerance=TOLERANCE)
                    self.assertLessEqual(day.most_told(), day.bound)

    def test_entries_in_touch_have_heard_soon(self):
        """Requests of entries that had not heard yet came on top for as long as a report takes."""

        async def return_once(day):
            day.late = day.pauses = False
            for server in day.servers.values():
                day.turn_cold(server)
            await asyncio.sleep(COLD_S + 1)

        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 1, return_once, tolerance=TOLERANCE)
                began = max(began for times in day.cold_times.values() for began, _ in times)
                most = day.most(lambda arrival, began=began: arrival.at > began + KNOWN_S)
                self.assertLessEqual(most, day.bound)
                sent = sum(
                    arrival.at > began + 1
                    for arrivals in day.arrivals.values()
                    for arrival in arrivals
                )
                # What a cold server tolerates is used.
                self.assertGreater(sent, 0.7 * PER_S * (COLD_S - 1) * SERVERS)

    def test_disturbed_entries_and_leaders_do_not_add_up(self):
        """Rates of an earlier leader, or of entries that were cut off, were given a second time."""

        async def work(day):
            disturbing = asyncio.create_task(disturb(day))
            returning = asyncio.create_task(return_cold(day))
            await asyncio.sleep(day.rng.uniform(2, 8))
            day.leader.restart()
            await returning
            disturbing.cancel()

        for entries in SIZES:
            for seed in range(2):
                with self.subTest(entries=entries, seed=seed):
                    day = played(entries, seed, work, cold_s=LONG_COLD_S)
                    self.assertLessEqual(day.most_told(), day.bound)

    def test_new_leader_that_knows_other_entries(self):
        """Entries cut off before a change of leader kept rates that were given to others."""

        async def work(day):
            for server in day.servers.values():
                day.turn_cold(server)
            await asyncio.sleep(2)
            cut_off = day.entries[::2]
            for entry in cut_off:
                day.cut(entry)
            day.leader.restart()
            await asyncio.sleep(6)
            for entry in cut_off:
                day.join(entry)
            await asyncio.sleep(6)

        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 1, work, cold_s=LONG_COLD_S)
                self.assertLessEqual(day.most_told(), day.bound)

    def test_entries_that_end_and_start_together(self):
        """Rates were freed before the leases of those that were cut off had expired."""

        async def work(day):
            for server in day.servers.values():
                day.turn_cold(server)
            await asyncio.sleep(2)
            for entry in day.entries[: day.count * 3 // 4]:
                day.cut(entry)
                day.start_entry()
            await asyncio.sleep(LONG_COLD_S - 2)

        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 1, work, cold_s=LONG_COLD_S)
                self.assertLessEqual(day.most_told(), day.bound)

    def test_entries_cut_off_just_before_a_new_leader_allots(self):
        """Rates of the earlier leader held on with each lease that the new one gave."""

        async def work(day):
            for server in day.servers.values():
                day.turn_cold(server)
            await asyncio.sleep(2)
            day.leader.restart()
            await asyncio.sleep(2.5)
            earlier = tuple(day.entries)
            for _ in range(3 * day.count):
                day.start_entry()
            await asyncio.sleep(1.5)
            for entry in earlier:
                day.cut(entry)
            await asyncio.sleep(6)

        for entries in SIZES:
            with self.subTest(entries=entries):
                day = played(entries, 1, work, cold_s=LONG_COLD_S)
                self.assertLessEqual(day.most_told(), day.bound)

    def test_entries_hear_at_once_of_servers_assumed_cold(self):
        """After an evacuation, entries sent to servers that had turned cold unannounced."""

        async def work(day):
            day.leader.publisher.assume_cold('a', COLD_S)
            await asyncio.sleep(0.2)
            chosen = engine('server-0', 1)
            for entry in day.entries:
                self.assertTrue(entry.cold.is_cold(chosen, day.now()))
            await asyncio.sleep(2)
            for entry in day.entries:
                self.assertFalse(entry.cold.is_cold(chosen, day.now()))

        played(33, 1, work)


class AllotTest(unittest.TestCase):
    """One server, by hand."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.board = ColdBoard()
        self.board.tolerance = TOLERANCE
        self.registry = BackendRegistry()
        self.sequences = itertools.count(1)
        self.leased = {f'entry-{at}' for at in range(20)}
        self.serving = tuple(sorted(self.leased))
        self.may_allot = True

    def announce(self, now, cold_s=0, data_centre='a'):
        made = engine(
            f'server-{data_centre}',
            1,
            sequence=next(self.sequences),
            cold_s=cold_s,
            data_centre=data_centre,
        )
        self.registry.observe((made,), now)

    def refresh(self, now):
        """Returns the rates above 0 of the first server by entry."""
        situation = Situation(
            self.registry.registered_by_instance,
            SERVICES,
            self.leased,
            self.serving,
            self.may_allot,
        )
        self.board.refresh(situation, now)
        rates = {entry: self.board.rates(entry) for entry in self.leased}
        return {entry: known['server-a'] for entry, known in rates.items() if known.get('server-a')}

    def test_allowance_keeps_the_bound(self):
        """A bound without room for a saved-up request was exceeded by it."""
        for per_s in (0.3, 1, 7.3):
            for tolerance in (ColdTolerance(), ColdTolerance(1, 0.5), TIGHT, TOLERANCE):
                bound = per_s * tolerance.overage + tolerance.slack
                allowance = Allowance.from_tolerance(per_s, tolerance)
                if bound >= 1:
                    self.assertLessEqual(allowance.entries + allowance.per_s, bound + 1e-9)
        self.assertEqual(Allowance.from_tolerance(PER_S, TOLERANCE), Allowance(PER_S, 8))

    def test_entry_that_leaves_keeps_its_rate_to_its_lease(self):
        """A leaving entry still sends; its rate was given to another one beside it."""
        self.announce(0, COLD_S)
        first = self.refresh(0)
        self.assertEqual(len(first), 8)
        self.assertAlmostEqual(sum(first.values()), PER_S)
        leaving = sorted(first)[:5]
        self.serving = tuple(entry for entry in self.serving if entry not in leaving)
        self.assertEqual(self.refresh(1), first)
        self.leased -= set(leaving)
        second = self.refresh(2)
        self.assertEqual(len(second), 8)
        self.assertAlmostEqual(sum(second.values()), PER_S)

    def test_server_warm_for_a_moment(self):
        """A server that was cold again was allotted anew, beside entries that had missed it."""
        self.announce(0, COLD_S)
        first = self.refresh(0)
        self.announce(1)
        self.assertEqual(self.refresh(1), {})
        self.serving = tuple(entry for entry in self.serving if entry not in first)
        self.announce(2, COLD_S)
        self.assertEqual(self.refresh(2), first)
        self.announce(3)
        self.refresh(3)
        self.refresh(8)
        self.announce(9, COLD_S)
        self.assertFalse(first.keys() & self.refresh(9).keys())

    def test_new_leader_allots_nothing_before_the_leases_end(self):
        """Newly cold servers must not look warm either while nothing may be allotted."""
        self.may_allot = False
        self.announce(0, COLD_S)
        self.refresh(0)
        self.assertEqual(self.board.rates('entry-1'), {'server-a': KEEP})

    def test_data_centre_that_is_assumed_cold(self):
        """After an evacuation servers had turned cold without having said so yet."""
        for data_centre in 'ab':
            self.announce(0, data_centre=data_centre)
        self.board.assume_cold('a', 10, 2)
        self.assertEqual(len(self.refresh(2)), 8)
        self.assertEqual(set(self.board.rates('entry-1')), {'server-a'})
        self.announce(3, cold_s=1)
        self.refresh(3.5)
        self.assertTrue(self.board.is_cold('server-a'))
        self.refresh(4.5)
        self.assertFalse(self.board.is_cold('server-a'))
        self.board.assume_cold('b', 10, 5)
        self.refresh(9)
        self.assertTrue(self.board.is_cold('server-b'))
        self.refresh(10.5)
        self.assertFalse(self.board.is_cold('server-b'))

    def test_service_without_a_rate_for_cold_servers(self):
        """A deployment without cold_per_s is served as before."""
        made = engine('other', 1, sequence=1, cold_s=3, service='desk')
        self.registry.observe((made,), 0)
        self.refresh(0)
        self.assertEqual(self.board.rates('entry-1'), {})


if __name__ == '__main__':
    unittest.main()
