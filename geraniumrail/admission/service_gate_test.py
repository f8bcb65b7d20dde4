"""Guards the limits at plain services under scarcity, in virtual time and without a network."""

import asyncio
import unittest

from geraniumrail.admission.ask import Ask
from geraniumrail.admission.service_gate import ServiceGate
from geraniumrail.admission.testing import Play
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.request import NotRunError
from geraniumrail.testing.virtual_loop import LoopClock, run_virtually

CAPACITY_PER_S = 133  # of one server
FULL = LoadReport(running=6, queued=20, slots=6)
SERVER = frozenset(('i-0',))


def played(seed, entries, servers, per_s, seconds, gated=True, **options):
    """Returns a play of callers of one organisation that has ended."""
    play = Play(seed, entries, servers, gated, **options)
    run_virtually(play.callers(per_s * servers, seconds))
    return play


def in_time(play, organisation=None):
    """Returns the share of requests that were answered in time."""
    tallies = [
        tally
        for (name, _), tally in play.tallies.items()
        if organisation is None or name == organisation
    ]
    return sum(each.in_time for each in tallies) / sum(each.asked for each in tallies)


class MixedLimitsTest(unittest.TestCase):
    def test_limited_servers_get_requests_beside_unlimited_ones(self):
        """Servers whose queues had been long got nothing more, and so stayed limited."""

        async def play():
            clock = LoopClock()
            gate = ServiceGate(clock, lambda: 1)
            for _ in range(3):
                gate.observe('i-0', FULL)
                await asyncio.sleep(0.3)
            await asyncio.sleep(2)
            now = clock.now()
            ask = Ask(organisation='a', route='r', target_s=1, due_at=now + 1, ends_at=now + 2)
            place = await gate.enter(ask, frozenset(('i-0', 'i-1')))
            return gate.limits.limit('i-0').is_limited, place.instances

        self.assertEqual(run_virtually(play()), (True, frozenset(('i-0', 'i-1'))))


class LoadTest(unittest.TestCase):
    def test_scarce_servers(self):
        """The queues of the servers stayed full, so that nearly all answers were late."""
        for servers, entries in ((1, 4), (1, 23), (1, 83), (3, 4), (3, 23), (3, 83)):
            with self.subTest(servers=servers, entries=entries):
                size = (entries, servers, 160, 8 if servers == 1 else 4)
                direct, gated = played(1, *size, gated=False), played(1, *size)
                self.assertGreater(in_time(gated), in_time(direct) + 0.15)
                self.assertGreater(in_time(gated), 0.5)
                possible = CAPACITY_PER_S * servers * size[-1]
                self.assertGreater(gated.served_meanwhile, 0.85 * possible)
                refused = sum(server.refused for server in gated.servers)
                self.assertLess(refused, 0.5 * sum(server.refused for server in direct.servers))

    def test_groups_at_one_entry(self):
        """A bucket that holds one place rejects most of a group that arrives at one entry."""
        for entries in (4, 23, 83):
            with self.subTest(entries=entries):
                direct = played(2, entries, 1, 150, 6, gated=False, same_entry=True)
                gated = played(2, entries, 1, 150, 6, same_entry=True)
                self.assertGreater(in_time(gated), in_time(direct) + 0.15)

    def test_calm_servers(self):
        """A limit while the servers are not scarce makes requests wait for nothing."""
        for servers, entries in ((1, 4), (1, 23), (1, 83), (3, 4), (3, 23), (3, 83)):
            with self.subTest(servers=servers, entries=entries):
                size = (entries, servers, 60, 6)
                direct, gated = played(3, *size, gated=False), played(3, *size)
                self.assertGreaterEqual(in_time(gated), in_time(direct) - 0.01)
                self.assertEqual(gated.total().rejected, 0)


class FairnessTest(unittest.TestCase):
    def test_small_organisation_beside_a_flood(self):
        """A small organisation found no place beside one that sends ten times its usual."""
        for entries in (4, 23, 83):
            with self.subTest(entries=entries):
                play = Play(4, entries, 1, gated=True)

                async def both(play=play):
                    await asyncio.gather(
                        play.callers(300, 8, 'large'), play.callers(10, 8, 'small', size=1)
                    )

                run_virtually(both())
                self.assertGreater(in_time(play, 'small'), 1.5 * in_time(play, 'large'))
                self.assertGreater(in_time(play, 'small'), 0.5)
                for route in ('safe', 'unsafe'):
                    tally = play.tallies['small', route]
                    self.assertGreater(tally.in_time, 0.4 * tally.asked)
                kinds = [play.tallies['large', route] for route in ('safe', 'unsafe')]
                shares = sorted(each.in_time / each.asked for each in kinds)
                self.assertGreater(shares[0], 0.6 * shares[1])


class FailuresTest(unittest.TestCase):
    def change(self, entries, servers, per_s, change):
        """Plays 8 s with a change after 3 s; returns the play and what was served after 5 s."""
        play, counts = Play(5, entries, servers, gated=True), []

        async def disturb():
            await asyncio.sleep(3)
            change(play)
            await asyncio.sleep(2)
            counts.append(sum(server.served for server in play.servers))
            await asyncio.sleep(3)
            counts.append(sum(server.served for server in play.servers))

        async def whole():
            await asyncio.gather(play.callers(per_s, 8), disturb())

        run_virtually(whole())
        return play, (counts[1] - counts[0]) / 3

    def test_half_of_the_entries_are_lost_and_no_leader_tells(self):
        """The places of entries that are cut off, or have ended, must not stay idle."""

        def lose(play):
            for entry in play.entries[::2]:
                entry.is_up = False

        for entries in (4, 23, 83):
            with self.subTest(entries=entries):
                _, served_per_s = self.change(entries, 1, 160, lose)
                self.assertGreater(served_per_s, 0.85 * CAPACITY_PER_S)

    def test_server_is_lost(self):
        """The load of three servers moves to two."""

        def lose(play):
            play.servers[0].is_up = False

        play, served_per_s = self.change(23, 3, 330, lose)
        self.assertGreater(served_per_s, 0.85 * 2 * CAPACITY_PER_S)
        self.assertGreater(in_time(play), 0.5)

    def test_server_is_slow(self):
        """A goal in requests, instead of seconds, keeps the queue of a slow server too long."""

        def slow(play):
            play.servers[0].work_s *= 1.6

        play, _ = self.change(23, 1, 110, slow)
        after = played(5, 23, 1, 110, 8, gated=False, work_s=0.045 * 1.6)
        self.assertGreater(in_time(play), in_time(after) + 0.2)

    def test_all_entries_start_at_once(self):
        """Buckets that begin full at 83 entries fill the queue of the server again and again."""
        play = played(6, 83, 1, 200, 6)
        refused = sum(server.refused for server in play.servers)
        self.assertLess(refused, 0.1 * play.total().asked)


class JumpingClock(LoopClock):
    """Jumps as that of a process that was frozen."""

    jumped_s = 0

    def now(self):
        return super().now() + self.jumped_s


class GateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = JumpingClock()
        self.gate = ServiceGate(self.clock, lambda: 23)

    def ask(self, target_s=0.5, **changes):
        now = self.clock.now()
        times = {'target_s': target_s, 'due_at': now + target_s, 'ends_at': now + 3}
        return Ask(**{'organisation': 'salon', 'route': 'desk', **times, **changes})

    async def limited(self):
        """Limits the server and takes the place that is left."""
        await self.gate.enter(self.ask(), SERVER)
        self.gate.observe('i-0', FULL)
        place = await self.gate.enter(self.ask(), SERVER)
        place.take('i-0')

    async def waiting(self, **changes):
        task = asyncio.create_task(self.gate.enter(self.ask(**changes), SERVER))
        await asyncio.sleep(0)
        return task

    async def test_without_reports_nothing_waits(self):
        for _ in range(100):
            place = await self.gate.enter(self.ask(), SERVER)
            place.take('i-0')
        self.assertEqual(self.gate.waiting, 0)

    async def test_caller_that_leaves_leaves_the_queue_at_once(self):
        """A place was kept for a caller that had left."""
        await self.limited()
        task = await self.waiting(target_s=5.0, ends_at=self.clock.now() + 9)
        self.assertEqual(self.gate.waiting, 1)
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(self.gate.waiting, 0)

    async def test_place_of_a_caller_that_leaves_as_it_is_let_through(self):
        """Its place was lost, so that others waited longer."""
        await self.limited()
        first = await self.waiting(target_s=5.0, ends_at=self.clock.now() + 9)
        limit = self.gate.limits.limit('i-0')
        limit.give_back()
        self.gate.observe('i-0', LoadReport(running=6, queued=0, slots=6))
        self.assertEqual(self.gate.waiting, 0)
        before = limit.level
        first.cancel()
        await asyncio.wait([first])
        self.assertAlmostEqual(limit.level, before + 1, places=2)

    async def test_thawed_entry_sends_nothing_that_has_expired(self):
        """A process was frozen for 10 s and then sent what had waited."""
        await self.limited()
        tasks = [await self.waiting(target_s=2.0) for _ in range(2)]
        self.clock.jumped_s = 10
        self.gate.observe('i-0', LoadReport(running=1, queued=0, slots=6))
        for task in tasks:
            with self.assertRaises(NotRunError):
                await task
        self.assertLess(self.gate.limits.limit('i-0').level, 4)

    async def test_stop_rejects_what_waits(self):
        await self.limited()
        task = await self.waiting(target_s=5.0, ends_at=self.clock.now() + 9)
        self.gate.reject_all()
        with self.assertRaises(NotRunError):
            await task

    async def test_what_can_not_be_in_time_is_rejected_at_once(self):
        """Requests waited for a place that could only come too late."""
        await self.limited()
        began = self.clock.now()
        with self.assertRaises(NotRunError) as raised:
            await self.gate.enter(self.ask(target_s=0.1), SERVER)
        self.assertLess(self.clock.now() - began, 0.05)
        self.assertGreater(raised.exception.fields['retry_after_s'], 0)

    async def test_urgent_route_goes_first(self):
        """An urgent request waited behind those of a route that can wait."""
        await self.limited()
        tasks = [
            await self.waiting(
                target_s=5.0, ends_at=self.clock.now() + 9, rank=rank, route=f'{rank}'
            )
            for rank in (9, 0)
        ]
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        self.assertEqual(done, {tasks[1]})
        tasks[0].cancel()


if __name__ == '__main__':
    unittest.main()
