"""Guards the capacity target when data centres are lost, starts refused or prices change."""

import dataclasses
import random
import unittest
from collections import Counter

from geraniumrail.placement.demand import Demand
from geraniumrail.placement.instance import Instance
from geraniumrail.placement.offer import Offer
from geraniumrail.placement.placement_settings import PlacementSettings
from geraniumrail.placement.planner import plan
from geraniumrail.placement.start_backoff import StartBackoff

SETTINGS = PlacementSettings(tokens_per_s_by_class={'small': 1000, 'large': 3000})
DEMAND = Demand(service='model-bench', tokens_per_s=6000)
CENTRES = ('shah-alam', 'petaling', 'cheras')
OFFERS = tuple(
    Offer(
        machine_class=machine_class,
        data_centre=centre,
        price_per_hour=price * (0.35 if reclaimable else 1) * (1 + 0.1 * number),
        reclaimable=reclaimable,
        reclaims_per_hour=0.2,
    )
    for machine_class, price in (('small', 1), ('large', 2.8))
    for number, centre in enumerate(CENTRES)
    for reclaimable in (True, False)
)


def started(actions, now=0):
    return [
        Instance(
            instance=f'i{number:02}',
            machine_class=action.offer.machine_class,
            data_centre=action.offer.data_centre,
            reclaimable=action.offer.reclaimable,
            started_at=now,
        )
        for number, action in enumerate(actions)
    ]


def capacity(instances, lost=''):
    per_class = SETTINGS.tokens_per_s_by_class
    return sum(per_class[one.machine_class] for one in instances if one.data_centre != lost)


class PlannerTest(unittest.TestCase):
    def test_target_holds_after_loss_of_any_data_centre(self):
        pool = started(plan(DEMAND, (), OFFERS, SETTINGS, 0).actions)
        for centre in CENTRES:
            self.assertGreaterEqual(capacity(pool, centre), DEMAND.tokens_per_s)
        on_demand = capacity([one for one in pool if not one.reclaimable])
        self.assertGreaterEqual(on_demand, 0.2 * DEMAND.tokens_per_s)

    def test_steady_pool_is_left_alone(self):
        pool = started(plan(DEMAND, (), OFFERS, SETTINGS, 0).actions)
        self.assertEqual(plan(DEMAND, pool, OFFERS, SETTINGS, 10_000).actions, ())

    def test_lost_data_centre_is_replaced_while_its_offers_are_refused(self):
        pool = started(plan(DEMAND, (), OFFERS, SETTINGS, 0).actions)
        lost = pool[0].data_centre
        left = [one for one in pool if one.data_centre != lost]
        offers = [
            dataclasses.replace(offer, retry_at=100) if offer.data_centre == lost else offer
            for offer in OFFERS
        ]
        actions = plan(DEMAND, left, offers, SETTINGS, 50).actions
        self.assertTrue(actions)
        self.assertNotIn(lost, {action.offer.data_centre for action in actions})

    def test_unreachable_target_is_reported_as_missing_capacity(self):
        offers = [dataclasses.replace(offer, retry_at=100) for offer in OFFERS]
        result = plan(DEMAND, (), offers, SETTINGS, 50)
        self.assertEqual((result.actions, result.missing_tokens_per_s), ((), 6000))

    def test_only_a_large_saving_causes_a_move(self):
        pool = started(plan(DEMAND, (), OFFERS, SETTINGS, 0).actions)
        centres = Counter(one.data_centre for one in pool)
        expensive = centres.most_common()[0][0]
        found = []
        for factor in (1.02, 6):
            offers = [
                dataclasses.replace(offer, price_per_hour=offer.price_per_hour * factor)
                if offer.data_centre == expensive
                else offer
                for offer in OFFERS
            ]
            found.append(plan(DEMAND, pool, offers, SETTINGS, 10_000).actions)
        self.assertEqual(found[0], ())
        moved = {action.instance for action in found[1] if action.kind == 'move'}
        self.assertTrue(moved)
        self.assertNotIn(expensive, {action.offer.data_centre for action in found[1]})
        left = [one for one in pool if one.instance not in moved] + started(found[1])
        for centre in CENTRES:
            self.assertGreaterEqual(capacity(left, centre), DEMAND.tokens_per_s)

    def test_spare_capacity_is_stopped_but_not_while_instances_start(self):
        pool = started(
            plan(Demand(service='s', tokens_per_s=12_000), (), OFFERS, SETTINGS, 0).actions
        )
        actions = plan(DEMAND, pool, OFFERS, SETTINGS, 10_000).actions
        self.assertEqual({action.kind for action in actions}, {'stop'})
        gone = {action.instance for action in actions}
        left = [one for one in pool if one.instance not in gone]
        for centre in CENTRES:
            self.assertGreaterEqual(capacity(left, centre), DEMAND.tokens_per_s)
        pool[0] = dataclasses.replace(pool[0], serving=False)
        self.assertEqual(plan(DEMAND, pool, OFFERS, SETTINGS, 10_000).actions, ())

    def test_backoff_grows_with_jitter_and_ends_with_a_start(self):
        backoff = StartBackoff(random.Random(1))
        key = OFFERS[0].key
        delays = []
        for _ in range(8):
            backoff.record_refusal(key, 0)
            delays.append(backoff.retry_at(key))
        self.assertTrue(all(delay <= 600 for delay in delays))
        self.assertGreater(delays[4], delays[0] * 4)
        backoff.record_start(key)
        self.assertEqual((backoff.refusals(key), backoff.retry_at(key)), (0, 0))


if __name__ == '__main__':
    unittest.main()
