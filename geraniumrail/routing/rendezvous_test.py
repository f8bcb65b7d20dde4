"""Guards prompts that callers of different entries share, such as one popular manual."""

import collections
import dataclasses
import random
import statistics
import unittest

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.rendezvous import preferred_instances
from geraniumrail.routing.request import LanguageRequest

INSTANCES = [f'i-{number}' for number in range(12)]


def backend(instance):
    return Backend(
        instance=instance,
        service='model-bench',
        address='10.0.0.1:80',
        data_centre='cheras',
        region='klang-valley',
        version='v1',
        models=('m',),
        lease_s=600,
        load=LoadReport(slots=64),
    )


BACKENDS = [backend(instance) for instance in INSTANCES]


def request(number, prefix):
    return LanguageRequest(
        request_id=f'req-{number}',
        service='model-bench',
        data_centre='cheras',
        region='klang-valley',
        model='m',
        prefixes=(prefix,),
        prefix_tokens=(6300,),
        prompt_tokens=9190,
        preferred=preferred_instances(prefix, INSTANCES),
    )


def rng_of(number):
    return random.Random(number)


class RendezvousTest(unittest.TestCase):
    def test_order_of_instances_does_not_matter(self):
        shuffled = INSTANCES[::-1]
        self.assertEqual(
            preferred_instances('manual', INSTANCES), preferred_instances('manual', shuffled)
        )

    def test_other_prefixes_keep_their_instances_when_an_engine_leaves(self):
        prefixes = [f'manual-{number}' for number in range(200)]
        left = INSTANCES[1:]
        moved = [
            prefix
            for prefix in prefixes
            if preferred_instances(prefix, INSTANCES) != preferred_instances(prefix, left)
        ]
        self.assertTrue(all('i-0' in preferred_instances(prefix, INSTANCES) for prefix in moved))

    def test_entries_send_a_shared_prefix_to_few_engines(self):
        """Four entries that exchange no messages send one manual to its preferred instances."""
        chosen = set()
        for entry in range(4):
            tracker = BackendTracker()
            rng = random.Random(entry)
            chosen.add(choose(BACKENDS, request(entry, 'manual'), tracker, rng, 0).backend.instance)
        self.assertLessEqual(len(chosen), 2)

    def test_entries_send_each_document_to_the_engines_that_cache_it(self):
        """Many documents share one introduction. If only the introduction decides the preferred
        instances, two engines are preferred for all documents and the others get the overflow."""
        entries = [
            (BackendTracker(prefill_tokens_per_s=40_000), random.Random(each)) for each in range(4)
        ]
        readers = collections.defaultdict(set)
        for number in range(400):
            document = f'manual/{number % 40}'
            tracker, rng = entries[rng_of(number).randrange(4)]
            wanted = dataclasses.replace(
                request(number, 'manual'),
                prefixes=('manual', document, f'{document}/{number}'),
                prefix_tokens=(2500, 6300, 9190),
                preferred=preferred_instances(document, INSTANCES),
                shared_prefix_count=2,
            )
            found = choose(BACKENDS, wanted, tracker, rng, number / 8).backend
            tracker.record_sent(found.instance, 9190, wanted.prefixes, number / 8)
            tracker.record_finished(found.instance, 9190, number / 8)
            readers[document].add(found.instance)
        self.assertLess(statistics.mean(map(len, readers.values())), 2.5)
        used = set().union(*readers.values())
        self.assertGreaterEqual(len(used), len(INSTANCES) - 2)

    def test_burst_of_one_prefix_spreads(self):
        """One key gets much of the traffic; prompt tokens that wait for prefill must count."""
        tracker = BackendTracker(prefill_tokens_per_s=40_000)
        rng = random.Random(1)
        chosen = []
        for number in range(24):
            found = choose(BACKENDS, request(number, 'manual'), tracker, rng, 0).backend
            chosen.append(found.instance)
            tracker.record_sent(found.instance, 9190, ('manual',), 0)
            tracker.add_pending_prompt_tokens(found.instance, 9190)
        self.assertGreater(len(set(chosen)), 6)


if __name__ == '__main__':
    unittest.main()
