"""Guards routing choices: version shares, unusable backend servers and the affinity cap."""

import collections
import dataclasses
import random
import unittest

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.backend import NoBackendError
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.baselines import least_reported_load, round_robin
from geraniumrail.routing.choice import choose
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.rendezvous import preferred_instances
from geraniumrail.routing.request import LanguageRequest, PlainRequest

PREFIXES = tuple(f'p{block}' for block in range(32))


def engine(name, **fields):
    defaults = {
        'service': 'bench',
        'address': f'127.0.0.1:{name}',
        'data_centre': 'cheras',
        'region': 'klang-valley',
        'version': 'v1',
        'models': ('m',),
        'sequence': 1,
    }
    return Backend(instance=name, **{**defaults, **fields})


def request(**fields):
    defaults = {
        'request_id': 'r',
        'service': 'bench',
        'model': 'm',
        'data_centre': 'cheras',
        'region': 'klang-valley',
        'prompt_tokens': 2048,
        'expected_answer_tokens': 200,
    }
    return LanguageRequest(**{**defaults, **fields})


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)
        self.tracker = BackendTracker()

    def observe(self, backends, now=0):
        for backend in backends:
            self.tracker.observe(backend, now)

    def names(self, backends, asked, now=0, count=200, chooser=choose):
        return collections.Counter(
            chooser(backends, asked, self.tracker, self.rng, now).backend.instance
            for _ in range(count)
        )

    def test_leaving_expired_excluded_and_other_models_are_never_chosen(self):
        """A leaving or lost engine must not get new work while the registry still lists it."""
        leaving = engine('leaving')
        expired = engine('expired', lease_s=2)
        other = engine('other', models=('x',))
        failed = engine('failed')
        good = engine('good', load=LoadReport(running=8, queued=20, slots=8, queued_tokens=9000))
        everyone = [leaving, expired, other, failed, good]
        self.observe(everyone)
        self.observe([dataclasses.replace(leaving, state='leaving', sequence=2)])
        self.observe([good], now=3)
        asked = request(excluded=frozenset(('failed',)))
        for chooser in (choose, least_reported_load, round_robin()):
            self.assertEqual(set(self.names(everyone, asked, 3, chooser=chooser)), {'good'})
        with self.assertRaises(NoBackendError):
            choose([leaving, other], asked, self.tracker, self.rng, 3)

    def test_old_announcement_does_not_revive_a_leaving_backend(self):
        """Relayed announcements arrive out of order."""
        self.observe([engine('e', state='leaving', sequence=5)])
        self.observe([engine('e', sequence=4)])
        with self.assertRaises(NoBackendError):
            choose([engine('e', sequence=4)], request(), self.tracker, self.rng, 0)

    def test_versions_follow_their_shares(self):
        """A canary must get its share and no more; a version with a share of 0 gets nothing."""
        backends = [engine('a'), engine('b', version='v2'), engine('c', version='v3')]
        self.observe(backends)
        asked = request(version_shares=(('v1', 0.95), ('v2', 0.05), ('v3', 0)))
        names = self.names(backends, asked, count=4000)
        self.assertEqual(names['c'], 0)
        self.assertAlmostEqual(names['b'] / 4000, 0.05, delta=0.015)

    def test_prefix_holder_is_preferred_until_the_cap(self):
        """A popular prefix must not send all requests to one engine."""
        backends = [engine(f'e{number}') for number in range(9)]
        self.observe(backends)
        asked = request(prefixes=PREFIXES)
        self.tracker.record_sent('e3', 0, PREFIXES, 0)
        self.tracker.record_finished('e3', 0, 0)
        self.assertEqual(choose(backends, asked, self.tracker, self.rng, 0).backend.instance, 'e3')
        chosen = collections.Counter()
        for _ in range(45):
            name = choose(backends, asked, self.tracker, self.rng, 0).backend.instance
            self.tracker.record_sent(name, 2248, (), 0)
            chosen[name] += 1
        self.assertLessEqual(max(chosen.values()), 9)

    def test_own_requests_prevent_herding_between_reports(self):
        """With only a stale report, all requests would go to the engine that was idle in it."""
        busy = LoadReport(running=4, slots=8, queued_tokens=2000, tokens_per_s=300)
        backends = [engine(f'e{number}', load=busy) for number in range(8)] + [engine('idle')]
        self.observe(backends)
        chosen = collections.Counter()
        for _ in range(30):
            name = choose(backends, request(), self.tracker, self.rng, 0).backend.instance
            self.tracker.record_sent(name, 2248, (), 0)
            chosen[name] += 1
        self.assertLessEqual(chosen['idle'], 8)

    def test_own_region_is_always_drawn_and_other_regions_take_the_overflow(self):
        """A draw from all regions alike would send requests to other regions without need."""
        far = [engine(f'far{number}', region='other') for number in range(9)]
        near = engine('near')
        self.observe([*far, near])
        self.assertEqual(set(self.names([*far, near], request())), {'near'})
        full = LoadReport(running=8, queued=9, slots=8, queued_tokens=9000, tokens_per_s=300)
        self.observe([dataclasses.replace(near, load=full, sequence=2)], 1)
        self.assertNotIn('near', self.names([*far, near], request(), 1))

    def test_failed_backend_is_avoided_for_a_short_time(self):
        """An engine must not be retried at once after a failure, nor excluded for long."""
        backends = [engine('a', lease_s=60), engine('b', lease_s=60)]
        self.observe(backends)
        self.tracker.record_failure('a', 0)
        self.assertEqual(set(self.names(backends, request(), 1)), {'b'})
        self.assertEqual(set(self.names(backends, request(), 10)), {'a', 'b'})

    def test_plain_service_prefers_low_load_and_logs(self):
        """Plain services have no models, prefixes or tokens."""
        backends = [engine('a', load=LoadReport(running=8)), engine('b', models=())]
        self.observe(backends)
        asked = PlainRequest(
            request_id='r', service='bench', data_centre='cheras', region='klang-valley'
        )
        decision = choose(backends, asked, self.tracker, self.rng, 0)
        self.assertEqual(decision.backend.instance, 'b')
        self.assertEqual(decision.reason, 'lowest_wait')
        with self.assertLogs('absl', 'INFO') as lines:
            log_decision(decision)
        self.assertIn('E0401 routing.chosen request="r"', lines.output[0])


class ManyEnginesTest(unittest.TestCase):
    """Each entry gets the load of a different subset of many engines."""

    def choices(self, prefix, entries=20, engines=78, known=32):
        """Counts the engines to which the entries send one prompt, each entry once."""
        chosen = collections.Counter()
        names = [f'engine-{number}' for number in range(engines)]
        for number in range(entries):
            rng = random.Random(number)
            subset = frozenset(rng.sample(names, known))
            backends = [engine(name, load_known=name in subset) for name in names]
            tracker = BackendTracker()
            for backend in backends:
                tracker.observe(backend, 0)
            asked = request(
                prefixes=(prefix, 'own'),
                prefix_tokens=(6300, 9190),
                prompt_tokens=9190,
                preferred=preferred_instances(prefix, names),
                shared_prefix_count=1,
            )
            decision = choose(backends, asked, tracker, rng, 0)
            chosen[decision.backend.instance] += 1
        return chosen

    def test_one_prompt_goes_to_few_engines(self):
        """Many entries, each with the load of different engines, get the same document. If each
        prefers engines among those with known load, most engines must prefill the document."""
        for prefix in ('manual-1', 'manual-2', 'manual-3'):
            with self.subTest(prefix=prefix):
                self.assertLessEqual(len(self.choices(prefix)), 2)

    def test_engine_of_unknown_load_is_not_drawn(self):
        """Each entry that lacks its load would estimate it at the mean."""
        rng, tracker = random.Random(1), BackendTracker()
        backends = [engine(f'e{number}', load_known=number < 4) for number in range(40)]
        for backend in backends:
            tracker.observe(backend, 0)
        chosen = {choose(backends, request(), tracker, rng, 0).backend.instance for _ in range(200)}
        self.assertLessEqual(chosen, {f'e{number}' for number in range(4)})


if __name__ == '__main__':
    unittest.main()
