"""Guards the learned speeds: noise taken for speed, a factor that is kept too long, herding."""

import collections
import random
import statistics
import unittest

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.request import PlainRequest
from geraniumrail.routing.server_speed import ServerSpeeds

SPEEDS = (0.6, 1.0, 1.6)


def learn(speeds, speed_by_instance, answers, rng, period_s=0.05, noise=0.4):
    """Records answers of drawn servers and returns the time of the last one."""
    instances = list(speed_by_instance)
    for number in range(answers):
        instance = rng.choice(instances)
        seconds = 0.045 * rng.lognormvariate(0, noise) / speed_by_instance[instance]
        speeds.observe_work(instance, 'search', seconds, 1, number * period_s)
    return answers * period_s


def request(**fields):
    return PlainRequest(
        request_id='r', service='search', data_centre='cheras', region='klang-valley', **fields
    )


def servers(count, **load):
    return [
        Backend(
            instance=f's{number}',
            service='search',
            address='10.0.0.1:80',
            data_centre='cheras',
            region='klang-valley',
            version='v1',
            lease_s=600,
            load=LoadReport(**load),
        )
        for number in range(count)
    ]


class SpeedTest(unittest.TestCase):
    def test_servers_that_are_alike_stay_at_one(self):
        """Noise taken for speed would send most requests to the servers that were lucky."""
        for entries, answers in ((4, 2000), (83, 200)):
            for seed in range(5):
                speeds = ServerSpeeds()
                alike = dict.fromkeys((f's{number}' for number in range(21)), 1)
                now = learn(speeds, alike, answers, random.Random(seed))
                found = [speeds.slowness(instance, now) for instance in alike]
                with self.subTest(entries=entries, seed=seed):
                    self.assertLess(max(found), 1.1)
                    self.assertGreater(min(found), 0.9)
                    self.assertGreaterEqual(found.count(1), 18)

    def test_choices_between_servers_that_are_alike_stay_as_before(self):
        """Servers that report no factor must be drawn as if nothing had been learned."""
        backends = servers(7, running=2, queued=1, slots=4)
        chosen = []
        for is_learning in (False, True):
            tracker, rng = BackendTracker(), random.Random(3)
            for backend in backends:
                tracker.observe(backend, 0)
            if is_learning:
                alike = dict.fromkeys((each.instance for each in backends), 1)
                learn(tracker.speeds, alike, 300, random.Random(1), 0.001)
            chosen.append(
                [choose(backends, request(), tracker, rng, 1).backend.instance for _ in range(300)]
            )
        self.assertEqual(chosen[0], chosen[1])

    def test_few_answers_tell_slow_from_fast(self):
        """An entry among 83 sees a server once in some seconds; none must pass for its opposite."""
        speeds = ServerSpeeds()
        known = {f's{number}': SPEEDS[number % 3] for number in range(21)}
        now = learn(speeds, known, 21 * 20, random.Random(2), 0.15)
        means = [
            statistics.mean(speeds.speed(each, now) for each in known if known[each] == speed)
            for speed in SPEEDS
        ]
        self.assertLess(means[0], 0.8)
        self.assertGreater(means[2], 1.3)
        for instance, speed in known.items():
            if speed != 1:
                self.assertGreaterEqual((speeds.speed(instance, now) - 1) * (speed - 1), 0)

    def test_learned_speed_is_forgotten(self):
        """A server that was slow for a time must be chosen again although it gives no answers."""
        speeds = ServerSpeeds()
        now = learn(speeds, {'a': 0.5, 'b': 1, 'c': 1}, 300, random.Random(1))
        self.assertLess(speeds.speed('a', now), 0.7)
        self.assertEqual(speeds.speed('a', now + 600), 1)

    def test_present_factor_fades(self):
        """A factor that changes many times a second says nothing after a second."""
        speeds = ServerSpeeds()
        speeds.observe_factor('a', 2.5, 10)
        self.assertGreater(speeds.slowness('a', 10), 1.8)
        self.assertLess(speeds.slowness('a', 10.3), 1.3)
        self.assertAlmostEqual(speeds.slowness('a', 12), 1, delta=0.01)

    def test_lasting_factor_counts_once(self):
        """A server that always reports twice the usual time is slow by its answers; the factor
        on top of that would count it twice."""
        speeds = ServerSpeeds()
        for number in range(400):
            instance, factor = ('a', 2) if number % 3 == 0 else ('b', 1)
            speeds.observe_factor(instance, factor, number / 50)
            speeds.observe_work(instance, 'search', 0.04 * factor, factor, number / 50)
        ratio = speeds.slowness('a', 8) / speeds.slowness('b', 8)
        self.assertAlmostEqual(ratio, 2, delta=0.3)


class ChoiceTest(unittest.TestCase):
    def test_repeated_request_prefers_a_fast_server(self):
        """A request that has lost time on a failed server must not go on to a slow one."""
        backends = servers(3, slots=6)
        tracker, rng = BackendTracker(), random.Random(1)
        for backend in backends:
            tracker.observe(backend, 0)
        learn(tracker.speeds, {'s0': 1, 's1': 0.5, 's2': 1}, 400, random.Random(1), 0.002)
        asked = request(excluded=frozenset(('s0',)))
        found = {choose(backends, asked, tracker, rng, 1).backend.instance for _ in range(20)}
        self.assertEqual(found, {'s2'})

    def test_queue_that_was_told_outweighs_speed(self):
        """A fast server whose queue is full keeps a request for longer than a slow idle one."""
        fast, slow = servers(2, slots=6)
        tracker, rng = BackendTracker(), random.Random(1)
        for backend in (fast, slow):
            tracker.observe(backend, 0)
        learn(tracker.speeds, {'s0': 1.6, 's1': 0.6}, 400, random.Random(1), 0.002)
        for _ in range(20):
            tracker.speeds.observe_plain('search', 0.045)
        tracker.observe_load('s0', LoadReport(running=6, queued=24, slots=6), 0.9)
        self.assertEqual(choose([fast, slow], request(), tracker, rng, 1).backend.instance, 's1')

    def test_entries_that_read_the_same_reports_do_not_herd(self):
        """83 entries that all know one fast server must not send it most of a moment's requests."""
        for entries in (4, 23, 83):
            chosen = collections.Counter()
            for entry in range(entries):
                backends = servers(21, running=2, slots=6)
                tracker, rng = BackendTracker(), random.Random(entry)
                for backend in backends:
                    tracker.observe(backend, 0)
                tracker.speeds.observe_factor('s0', 0.3, 1)
                for _ in range(5):
                    name = choose(backends, request(), tracker, rng, 1).backend.instance
                    tracker.record_sent(name, 1, (), 1)
                    chosen[name] += 1
            with self.subTest(entries=entries):
                self.assertLess(chosen['s0'], 0.25 * chosen.total())


if __name__ == '__main__':
    unittest.main()
