"""Guards the orders of engines over time: starts take seconds and must not be cancelled."""

import logging
import types
import unittest

from geraniumrail.control.duty_call import DutyAnswer
from geraniumrail.control.fleet_planner import SUBSTITUTE_UTILISATION, FleetPlanner
from geraniumrail.core.backend import Backend
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.service import Scaling, ServiceSpec
from geraniumrail.links.messages import ServiceDemand
from geraniumrail.state.results import DutyHeld

NAMES = ('shah-alam', 'petaling', 'cheras')
SERVICE = 'model-bench'
BOOT_S = 4.0
STEP_S = 0.25
COLD_S = 3.0
TOKENS_PER_S = 150_000
TOKENS_PER_ENGINE_S = 60_000  # of an engine that is never idle


class Cloud:
    """Starts and stops engines as ordered; reclaimable ones can be reclaimed."""

    def __init__(self):
        self.now = 100.0
        self.desired = {(name, False): 3 for name in NAMES}
        self.engines = [(name, False, self.now) for name in NAMES for _ in range(3)]
        self.refuses_until = {}
        self.history = []  # (time, data centre, reclaimable, count)

    def order(self, order):
        """Carries out an order; engines over the number are stopped at once."""
        key = (order.data_centre, order.reclaimable)
        mine = [each for each in self.engines if each[:2] == key]
        refused = order.reclaimable and self.now < max(self.refuses_until.values(), default=0)
        if refused and order.count > len(mine):
            return DutyAnswer.conflict
        self.history.append((self.now, *key, order.count))
        room = 6 - sum(each[0] == key[0] for each in self.engines)
        for _ in range(min(room, order.count - len(mine))):
            self.engines.append((*key, self.now + BOOT_S))
        for _ in range(len(mine) - order.count):
            self.engines.remove(max(mine, key=lambda each: each[2]))
            mine.remove(max(mine, key=lambda each: each[2]))
        return DutyAnswer.accepted

    def reclaim(self, name, refusal_s):
        self.engines = [each for each in self.engines if each[:2] != (name, True)]
        self.refuses_until[name] = self.now + refusal_s

    def serving(self):
        return [each for each in self.engines if each[2] <= self.now]


class FleetPlannerTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.cloud = Cloud()
        self.registered = {}
        self.tokens_per_engine_s = TOKENS_PER_ENGINE_S
        self.cold_until = 0
        scaling = Scaling(
            least=1,
            most=6,
            boot_s=BOOT_S,
            reclaimable_price=0.18,
            price_by_data_centre=dict(zip(NAMES, (0.85, 1.2, 1.0), strict=True)),
        )
        spec = ServiceSpec(name=SERVICE, scaling=scaling, cold_start_s=COLD_S, cold_per_s=1)
        deployment = Deployment(version=1, services=(spec,))
        self.tables = types.SimpleNamespace(
            deployment=deployment,
            duty=DutyHeld(holder='a', number=1),
            evacuations_by_data_centre={},
            evacuation_ends_by_data_centre={},
        )
        registry = types.SimpleNamespace(registered_by_instance=self.registered)
        control = types.SimpleNamespace(
            now=lambda: self.cloud.now,
            agreed_wall_time=lambda: self.cloud.now,
            machine=types.SimpleNamespace(tables=self.tables),
            publisher=types.SimpleNamespace(registry=registry, report_sinks=[]),
        )
        self.planner = FleetPlanner(control)

    def run_for(self, seconds, traffic=True):
        for _ in range(int(seconds / STEP_S)):
            self.cloud.now += STEP_S
            self.announce()
            if traffic:
                self.report()
            for order in self.planner.due_orders():
                self.planner.record_answer(order, self.cloud.order(order))

    def report(self):
        tokens = TOKENS_PER_S * STEP_S
        demand = ServiceDemand(
            service=SERVICE,
            requests=9,
            tokens=tokens,
            worked_tokens=tokens,
            read_tokens=tokens / 2,
            read_tokens_per_s=self.tokens_per_engine_s,
            batch_s=tokens / 2 / self.tokens_per_engine_s,
        )
        self.planner.observe(types.SimpleNamespace(demand=(demand,)), self.cloud.now)

    def observe_only(self, seconds):
        """Lets a leader that does not hold the duty yet hear of demand."""
        for _ in range(int(seconds / STEP_S)):
            self.cloud.now += STEP_S
            self.announce()
            self.report()

    def announce(self):
        self.registered.clear()
        for number, (name, kind, _) in enumerate(self.cloud.serving()):
            backend = Backend(
                instance=f'i-{number}',
                service=SERVICE,
                address='10.0.0.1:80',
                data_centre=name,
                region='r',
                version='v1',
                reclaimable=kind,
            )
            self.registered[backend.instance] = types.SimpleNamespace(
                backend=backend, cold_until=self.cold_until
            )

    def counts_by_kind(self):
        serving = self.cloud.serving()
        return sum(each[1] for each in serving), sum(not each[1] for each in serving)

    def test_evacuated_engines_are_kept_and_replaced_elsewhere(self):
        """Engines of a data centre without requests were counted, or were stopped as not needed;
        or the replacements stopped while the returned engines were cold."""
        self.run_for(40)
        there = sum(each[0] == 'cheras' for each in self.cloud.serving())
        elsewhere = len(self.cloud.serving()) - there
        began = self.cloud.now
        self.tables.evacuations_by_data_centre['cheras'] = object()
        self.run_for(2 * STEP_S + 0.5)
        ordered = [each for each in self.cloud.history if each[0] > began]
        self.assertTrue(ordered)
        self.run_for(20)
        replaced = sum(each[0] != 'cheras' for each in self.cloud.serving())
        self.assertGreater(replaced, elsewhere)
        self.tables.evacuations_by_data_centre.clear()
        self.tables.evacuation_ends_by_data_centre['cheras'] = self.cloud.now
        self.run_for(COLD_S - STEP_S)
        self.assertNotIn('cheras', [each[1] for each in self.cloud.history if each[0] > began])
        self.assertEqual(sum(each[0] == 'cheras' for each in self.cloud.serving()), there)
        self.assertEqual(sum(each[0] != 'cheras' for each in self.cloud.serving()), replaced)
        self.run_for(20)
        self.assertLess(sum(each[0] != 'cheras' for each in self.cloud.serving()), replaced)

    def test_nothing_is_ordered_when_all_data_centres_are_evacuated(self):
        self.run_for(20)
        began = self.cloud.now
        self.tables.evacuations_by_data_centre.update(dict.fromkeys(NAMES))
        self.run_for(10)
        self.assertEqual([each for each in self.cloud.history if each[0] > began], [])

    def test_reclaimable_engines_replace_the_first_ones(self):
        self.run_for(10, traffic=False)
        self.run_for(30)
        reclaimable, on_demand = self.counts_by_kind()
        self.assertGreaterEqual(reclaimable, 12)
        self.assertEqual(on_demand, 0)

    def test_starts_are_not_cancelled_while_orders_are_refused(self):
        """Data centres are reclaimed 3 s apart, the dearest first, and refuse orders for 14 s;
        starting engines were cancelled repeatedly in favour of a cheaper data centre (inc-5455)."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        began = self.cloud.now
        self.cloud.reclaim('petaling', 14)
        self.run_for(3)
        self.cloud.reclaim('shah-alam', 14)
        self.run_for(6)
        _, on_demand = self.counts_by_kind()
        self.assertGreaterEqual(on_demand, 4)
        self.assertGreaterEqual(sum(self.counts_by_kind()), 9)
        for name in NAMES:
            counts = [
                count
                for at, data_centre, kind, count in self.cloud.history
                if at > began and data_centre == name and not kind
            ]
            self.assertEqual(counts, sorted(counts), f'{name}: {counts}')

    def test_new_leader_keeps_the_substitutes(self):
        """The leader is lost while data centres are reclaimed and refuse orders. The new one
        cancelled the on-demand engines, and ordered them again after the refusal."""
        self.tokens_per_engine_s = TOKENS_PER_ENGINE_S / 2
        self.run_for(10, traffic=False)
        self.run_for(30)
        self.cloud.reclaim('cheras', 20)
        self.run_for(3)
        self.cloud.reclaim('petaling', 20)
        self.run_for(7)
        _, on_demand = self.counts_by_kind()
        self.tables.duty = DutyHeld(holder='b', number=2)
        self.planner.became_leader()
        began = self.cloud.now
        self.run_for(8)
        counts = [
            count
            for at, data_centre, kind, count in self.cloud.history
            if at > began and data_centre in {'cheras', 'petaling'} and not kind
        ]
        self.assertGreater(on_demand, 0)
        self.assertNotIn(0, counts)
        self.assertGreaterEqual(self.counts_by_kind()[1], on_demand)

    def test_new_leader_orders_as_soon_as_it_knows_the_demand(self):
        """Leaders are lost in succession, each some seconds after it took the duty, while data
        centres are reclaimed. Each waited again for announcements from then on, none ordered in
        time, and no engine was left."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        self.cloud.reclaim('cheras', 20)
        self.tables.duty = DutyHeld(holder='b', number=2)
        self.planner.became_leader()
        began = self.cloud.now
        self.observe_only(3)
        self.run_for(3)
        self.assertLess(min(at for at, *_ in self.cloud.history if at > began), began + 5)

    def test_few_substitutes_where_the_other_data_centres_carry_the_load(self):
        """One data centre is reclaimed under a load that the others carry at a higher latency;
        on-demand engines at five times the price were ordered for the whole difference."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        self.cloud.reclaim('cheras', 14)
        self.run_for(10)
        left, on_demand = self.counts_by_kind()
        capacity = (left + on_demand) * TOKENS_PER_ENGINE_S * SUBSTITUTE_UTILISATION
        self.assertGreaterEqual(capacity, TOKENS_PER_S)
        self.assertLessEqual(on_demand, 2)

    def test_starting_substitutes_survive_a_high_estimate(self):
        """Two data centres are reclaimed 6 s apart. Prompts that another entry had read before made
        the engines look twice as fast for a few seconds; the substitutes that were starting were
        cancelled, and two engines carried the whole load after the next reclaim."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        self.cloud.reclaim('cheras', 20)
        self.run_for(6)
        self.cloud.reclaim('petaling', 20)
        self.run_for(2)
        began = self.cloud.now
        self.tokens_per_engine_s = 4 * TOKENS_PER_ENGINE_S
        self.run_for(4)
        self.tokens_per_engine_s = TOKENS_PER_ENGINE_S
        self.run_for(4)
        for name in NAMES:
            counts = [
                count
                for at, data_centre, kind, count in self.cloud.history
                if at > began and data_centre == name and not kind
            ]
            self.assertEqual(counts, sorted(counts), f'{name}: {counts}')

    def test_engines_that_answer_more_need_fewer_substitutes(self):
        """Two data centres are reclaimed 6 s apart under a load that the third one carries, since
        the engines read prompts quickly. With a fixed capacity of an engine, as many on-demand
        ones were ordered as slow engines would need."""
        self.tokens_per_engine_s = 4 * TOKENS_PER_ENGINE_S
        self.run_for(10, traffic=False)
        self.run_for(30)
        self.cloud.reclaim('cheras', 14)
        self.run_for(6)
        self.cloud.reclaim('petaling', 14)
        self.run_for(6)
        left, on_demand = self.counts_by_kind()
        capacity = (left + on_demand) * self.tokens_per_engine_s * SUBSTITUTE_UTILISATION
        self.assertGreaterEqual(capacity, TOKENS_PER_S)
        self.assertLessEqual(on_demand, 2)

    def test_reclaimable_engines_replace_substitutes_that_filled_a_data_centre(self):
        """Two data centres are reclaimed 6 s apart and refuse orders for 14 s. On-demand engines
        filled the first one for good: they left no room to order a reclaimable one, and without
        one that serves it counted as reclaimed."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        before = self.counts_by_kind()
        self.cloud.reclaim('cheras', 12)
        self.run_for(6)
        self.cloud.reclaim('petaling', 14)
        self.run_for(14 + 2 * BOOT_S + 4)
        self.assertEqual(self.counts_by_kind(), before)
        self.assertEqual(before[1], 0)

    def test_short_cold_starts_order_nothing(self):
        """A cold start that is over before a new engine would serve ordered as many again."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        before = list(self.cloud.history)
        self.cold_until = self.cloud.now + BOOT_S - STEP_S
        self.run_for(BOOT_S)
        self.assertEqual(self.cloud.history, before)

    def test_engines_that_stay_cold_count_for_what_they_do(self):
        """A data centre is reclaimed while the engines of the others stay cold for longer than a
        start takes; these counted as whole ones, and few substitutes were ordered."""
        self.run_for(10, traffic=False)
        self.run_for(30)
        self.cold_until = self.cloud.now + 10 * BOOT_S
        self.cloud.reclaim('cheras', 14)
        self.run_for(10)
        self.assertGreater(self.counts_by_kind()[1], 2)
        self.run_for(20 * BOOT_S)
        self.assertEqual(self.counts_by_kind()[1], 0)


if __name__ == '__main__':
    unittest.main()
