"""Tests the fair queue: shares, class order, idle credit, completion bound and corrections."""

import collections
import unittest

from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.fair_queue import IDLE_CREDIT_TOKENS, FairQueue
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.shedder import Shedder


class FairQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = FairQueue()
        self.count = 0

    def push(self, organisation, count=1, tokens=100, now=0, traffic_class='chat', **fields):
        for _ in range(count):
            self.count += 1
            item = QueueItem(
                item_id=f'{organisation}{self.count}',
                organisation=organisation,
                traffic_class=traffic_class,
                tokens=tokens,
                **fields,
            )
            self.queue.push(item, now)

    def pop(self, count=1, now=0):
        return [self.queue.pop(now) for _ in range(count)]

    def organisations(self, count, now=0):
        return collections.Counter(item.organisation for item in self.pop(count, now))

    def test_tokens_are_shared_by_weight(self):
        """Organisations get tokens, not requests, in proportion to their weights."""
        self.push('long', 50, tokens=400)
        self.push('short', 100, tokens=100)
        self.push('double', 100, tokens=100, weight=2)
        served = self.organisations(70)
        self.assertAlmostEqual(served['long'] * 4 / served['short'], 1, delta=0.25)
        self.assertAlmostEqual(served['double'] / served['short'], 2, delta=0.2)

    def test_small_organisation_does_not_wait_for_a_flood(self):
        """The first request of a small organisation is dispatched next despite a long queue."""
        self.push('large', 500)
        self.pop(100)
        self.push('small')
        self.assertEqual(self.pop()[0].organisation, 'small')

    def test_idle_credit_is_bounded(self):
        """An organisation that was idle for long must not get all engines to itself."""
        self.push('busy', 500)
        self.pop(300)
        self.push('idle', 500)
        served = self.organisations(60)
        lead = served['idle'] * 100 - served['busy'] * 100
        self.assertLessEqual(lead, IDLE_CREDIT_TOKENS + 200)

    def test_idle_credit_is_bounded_for_a_known_organisation(self):
        """The bound also applies to an organisation that was active before."""
        self.push('idle')
        self.queue.finish(self.pop()[0].item_id, 100, 0)
        self.push('busy', 500)
        self.pop(300)
        self.push('idle', 500)
        served = self.organisations(100)
        self.assertLessEqual((served['idle'] - served['busy']) * 100, IDLE_CREDIT_TOKENS + 200)

    def test_classes_are_ordered_but_do_not_starve_other_organisations(self):
        """A flood of chat must not delay another organisation's quick request without bound."""
        self.push('a', traffic_class='review')
        self.push('a', traffic_class='quick')
        self.push('a', 100)
        self.push('b', traffic_class='quick')
        order = [(item.organisation, item.traffic_class) for item in self.pop(103)]
        self.assertEqual(order[0], ('a', 'chat'))
        self.assertLess(order.index(('b', 'quick')), 25)
        self.assertLess(order.index(('a', 'quick')), order.index(('a', 'review')))

    def test_review_is_promoted_after_half_its_bound(self):
        """Without promotion, steady chat traffic starves reviews."""
        self.push('a', traffic_class='review', completion_bound_s=60)
        review = f'a{self.count}'
        self.push('a', 100)
        self.assertNotIn(review, [item.item_id for item in self.pop(20, now=29)])
        self.assertEqual(self.pop(now=30)[0].item_id, review)

    def test_reserve_is_only_for_underserved_organisations(self):
        """If a flood filled all windows, a small organisation would wait until an answer ends."""
        self.push('large', 500)
        self.pop(100)
        self.push('small', 200)
        popped = [self.queue.pop(0, reserve_only=True) for _ in range(100)]
        chosen = [item.organisation for item in popped if item is not None]
        self.assertEqual(set(chosen), {'small'})
        self.assertLessEqual(len(chosen) * 100, IDLE_CREDIT_TOKENS)
        self.assertIsNotNone(self.queue.pop(0))

    def test_finish_corrects_the_charge(self):
        """Estimates that are too low must not give an organisation more than its share."""
        self.push('low', 100, tokens=100)
        self.push('exact', 100, tokens=100)
        served = collections.Counter()
        for _ in range(60):
            item = self.pop()[0]
            served[item.organisation] += 1
            self.queue.finish(item.item_id, 200 if item.organisation == 'low' else 100, 0)
            self.queue.finish(item.item_id, 900, 0)
        self.assertAlmostEqual(served['exact'] / served['low'], 2, delta=0.3)

    def test_queue_limit_and_removal(self):
        """One organisation must not fill the memory; requests of callers that left are removed."""
        self.push('a', 5, queue_limit=5)
        with self.assertRaises(OverloadedError):
            self.push('a', queue_limit=5)
        self.push('b', queue_limit=5)
        self.assertTrue(self.queue.remove('a1'))
        self.assertFalse(self.queue.remove('a1'))
        self.push('a', queue_limit=5)
        self.assertEqual(self.queue.depth(), 6)
        self.assertEqual(self.queue.depth('a'), 5)

    def test_shedder_refuses_only_the_organisation_with_the_flood(self):
        """Only the organisation that causes an overload has requests refused early."""
        shedder = Shedder()
        self.push('large', 300)
        for tick in range(100):
            self.pop(now=tick / 10)
            shedder.dispatch_rate.record(100, self.queue.depth(), tick / 10)
        item = QueueItem(item_id='x', organisation='large', traffic_class='chat', tokens=100)
        with self.assertRaises(OverloadedError) as caught:
            shedder.check(item, self.queue)
        self.assertGreaterEqual(caught.exception.fields['retry_after_s'], 10)
        small = QueueItem(item_id='y', organisation='small', traffic_class='chat', tokens=100)
        shedder.check(small, self.queue)


if __name__ == '__main__':
    unittest.main()
