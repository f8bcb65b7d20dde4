"""Guards the worth of cached prefixes: wrong places, hot parts on few engines, evicted prefixes."""

import collections
import dataclasses
import random
import unittest

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.prefix_value import Pool, PrefixValue
from geraniumrail.routing.request import LanguageRequest

KV_TOKENS = 278_000
SYSTEM, DOCUMENT, PROMPT = 2500, 6300, 6900
ANSWER = 150
# Expected of the load model: requests per second of all entries, and the engines.
REQUESTS_PER_S = 280
ENGINES = [f'e{number:02}' for number in range(70)]


def pool(entries, instances=ENGINES):
    return Pool(instances=instances, kv_tokens=KV_TOKENS, requests=5, entries=entries)


def seen(entries, documents, seconds=60, rng=None):
    """Returns what one of some entries has seen of requests for documents, and the time."""
    value, rng = PrefixValue(), rng or random.Random(1)
    period_s = entries / REQUESTS_PER_S
    for number in range(int(seconds / period_s)):
        now = number * period_s
        document = rng.randrange(documents) if documents else number
        value.observe(names(document), now)
        value.sent(PROMPT, DOCUMENT, ANSWER, now)
    return value, seconds


def names(document):
    system = f's{document % 4}'
    return (system, f'{system}/d{document}')


def plan(value, document, entries, now, instances=ENGINES):
    return value.plan(names(document), (SYSTEM, DOCUMENT), pool(entries, instances), now)


class PlacementTest(unittest.TestCase):
    def test_hot_part_is_everywhere_and_a_document_at_two(self):
        """Two engines would be asked for all requests that share a system prompt."""
        for entries in (4, 23, 83):
            value, now = seen(entries, 1500)
            system, document = plan(value, 7, entries, now).parts
            with self.subTest(entries=entries):
                self.assertEqual(system.copies, ())
                self.assertGreater(system.confidence('e01'), 0.9)
                self.assertEqual(len(document.copies), 2)
                self.assertGreater(document.confidence(document.copies[0]), 0.8)

    def test_entries_agree_on_the_place_of_a_document(self):
        """Entries that have seen different requests would each have it read elsewhere."""
        found = set()
        for entry in range(20):
            value, now = seen(83, 1500, rng=random.Random(entry))
            found.add(plan(value, 3, 83, now).preferred[:2])
        self.assertEqual(len(found), 1)

    def test_unique_documents_attract_nothing(self):
        """A last part that nobody asks for again would send each request to a random engine, away
        from those that cache what it shares."""
        value, now = seen(23, 0)
        _, document = plan(value, 10**6, 23, now).parts
        self.assertLess(document.confidence(document.copies[0]), 0.1)

    def test_popular_document_gets_more_copies(self):
        """One document with a tenth of the requests needs more than two engines of seventy."""
        value, rng = PrefixValue(), random.Random(1)
        for number in range(3000):
            document = 1 if rng.random() < 0.1 else rng.randrange(2, 1500)
            value.observe(names(document), number / 50)
        copies = plan(value, 1, 4, 60).parts[1].copies
        self.assertGreaterEqual(len(copies), 8)
        self.assertLessEqual(len(copies), 30)

    def test_removed_engine_moves_only_its_own_parts(self):
        """A lost engine must not move all documents, which would all be read again."""
        value, now = seen(23, 1500)
        many = [f'm{number}' for number in range(880)]
        for engines in (ENGINES, many):
            before = {each: plan(value, each, 23, now, engines).preferred for each in range(100)}
            left = [each for each in engines if each != engines[5]]
            for document, preferred in before.items():
                if engines[5] not in preferred:
                    self.assertEqual(plan(value, document, 23, now, left).preferred, preferred)

    def test_little_memory_lowers_the_worth_of_a_hint(self):
        """An engine evicts what was sent there before its memory was filled again."""
        value, now = seen(23, 1500)
        small = dataclasses.replace(pool(23), kv_tokens=20_000)
        plans = [value.plan(names(1), (SYSTEM, DOCUMENT), each, now) for each in (pool(23), small)]
        worth = [each.cached_tokens('none', [(PROMPT, 0.9 * each.holds(20))]) for each in plans]
        self.assertGreater(worth[0], 0.85 * PROMPT)
        self.assertLess(worth[1], 0.5 * PROMPT)


class WeighingTest(unittest.TestCase):
    def setUp(self):
        self.tracker, self.rng = BackendTracker(prefill_tokens_per_s=20_000), random.Random(1)
        self.value, self.now = seen(23, 1500)
        self.backends = [
            Backend(
                instance=name,
                service='bench',
                address=name,
                data_centre='cheras',
                region='klang-valley',
                version='v1',
                models=('m',),
                lease_s=600,
                load=LoadReport(slots=32),
            )
            for name in ENGINES
        ]
        for backend in self.backends:
            self.tracker.observe(backend, self.now)

    def decide(self, document, now=None):
        asked = LanguageRequest(
            request_id='r',
            service='bench',
            data_centre='cheras',
            region='klang-valley',
            model='m',
            prefixes=(*names(document), 'own'),
            prefix_tokens=(SYSTEM, DOCUMENT, PROMPT),
            prompt_tokens=PROMPT,
            shared_prefix_count=2,
            expected_answer_tokens=ANSWER,
            plan=plan(self.value, document, 23, self.now),
        )
        return choose(self.backends, asked, self.tracker, self.rng, now or self.now)

    def test_waiting_prompts_outweigh_a_cached_document(self):
        """An engine whose prompts wait for longer than reading anew takes must be left alone."""
        home = self.decide(5).backend.instance
        self.assertEqual(home, plan(self.value, 5, 23, self.now).preferred[0])
        self.tracker.add_pending_prompt_tokens(home, 5000)
        self.assertNotEqual(self.decide(5).backend.instance, home)

    def test_full_engine_is_left_alone(self):
        """The cap of affinity is gone; the wait for a slot alone must move requests away."""
        home = self.decide(5).backend.instance
        full = LoadReport(running=32, queued=4, slots=32)
        self.tracker.observe_load(home, full, self.now + 0.01)
        self.assertNotEqual(self.decide(5, self.now + 0.02).backend.instance, home)

    def test_slow_engine_reads_a_part_again_elsewhere(self):
        """What is saved must be weighed at the present speed of the engine that has it."""
        home, second = plan(self.value, 5, 23, self.now).preferred
        self.tracker.add_pending_prompt_tokens(second, 50_000)
        self.tracker.add_pending_prompt_tokens(home, 2000)
        self.assertEqual(self.decide(5).backend.instance, home)
        self.tracker.speeds.observe_factor(home, 4, self.now)
        self.assertNotEqual(self.decide(5).backend.instance, home)

    def test_burst_of_one_document_spreads(self):
        """All callers open one document at once; the first engines must not take them all."""
        chosen = collections.Counter()
        for _ in range(60):
            decision = self.decide(5)
            name = decision.backend.instance
            chosen[name] += 1
            self.tracker.record_sent(name, PROMPT, (*names(5), 'own'), self.now)
            self.tracker.add_pending_prompt_tokens(name, PROMPT - decision.cached_tokens)
        self.assertLessEqual(max(chosen.values()), 15)

    def test_decision_tells_what_is_expected_to_be_cached(self):
        """An operator could not see whether affinity worked."""
        with self.assertLogs('absl', 'INFO') as lines:
            log_decision(self.decide(5))
        self.assertRegex(lines.output[0], r'cached_tokens=[56]\d\d\d')


if __name__ == '__main__':
    unittest.main()
