"""Guards the engine orders when data centres are reclaimed and starts are refused."""

import unittest

from geraniumrail.placement.fleet_plan import FleetBounds, fleet_plan, next_fleet

BOUNDS = FleetBounds(
    least=1,
    most=6,
    reclaimable_price=0.18,
    price_by_data_centre={'shah-alam': 0.85, 'petaling': 1.2, 'cheras': 1.0},
)
NAMES = tuple(BOUNDS.price_by_data_centre)
PLANNED = {(name, kind): 4 if kind else 0 for name in NAMES for kind in (True, False)}


def fleet(tokens_per_s, bounds=BOUNDS):
    return fleet_plan('model-bench', tokens_per_s, 18_000, 0, bounds, 0)


class FleetPlanTest(unittest.TestCase):
    def test_reclaim_of_a_data_centre_leaves_enough(self):
        """All reclaimable engines of one data centre are reclaimed at once."""
        found = fleet(140_000)
        by_centre = [found[name, True] for name in NAMES]
        self.assertGreaterEqual(sum(by_centre) - max(by_centre), 8)
        self.assertEqual([found[name, False] for name in NAMES], [0, 0, 0])

    def test_bounds_of_a_data_centre(self):
        found = fleet(900_000)
        self.assertEqual([found[name, True] + found[name, False] for name in NAMES], [6, 6, 6])
        idle = fleet(0)
        self.assertEqual([idle[name, True] + idle[name, False] for name in NAMES], [1, 1, 1])

    def test_without_reclaimable_offers_all_are_on_demand(self):
        bounds = FleetBounds(
            least=1,
            most=6,
            reclaimable_price=0,
            price_by_data_centre=BOUNDS.price_by_data_centre,
        )
        found = fleet(140_000, bounds)
        self.assertEqual([found[name, True] for name in NAMES], [0, 0, 0])
        self.assertGreaterEqual(sum(found[name, False] for name in NAMES), 8)


class TransitionTest(unittest.TestCase):
    def ordered(self, reclaimable, on_demand=(0, 0, 0), refused=(), needed=8, planned=PLANNED):
        """Returns the on-demand and the reclaimable engines to order."""
        serving = {(name, True): count for name, count in zip(NAMES, reclaimable, strict=True)}
        serving |= {(name, False): count for name, count in zip(NAMES, on_demand, strict=True)}
        found = next_fleet(planned, serving, refused, needed, BOUNDS)
        return [found[name, False] for name in NAMES], [found[name, True] for name in NAMES]

    def test_complete_fleet_needs_no_on_demand_engines(self):
        self.assertEqual(self.ordered((4, 4, 4), (2, 2, 2)), ([0, 0, 0], [4, 4, 4]))

    def test_unreplaced_reclaim_is_substituted_with_the_next_at_risk(self):
        """A data centre is reclaimed and refuses new starts; another one may be reclaimed next."""
        on_demand, _ = self.ordered((4, 4, 0), refused=('cheras',))
        self.assertEqual(on_demand, [0, 0, 4])

    def test_two_reclaims_in_a_row(self):
        on_demand, _ = self.ordered((4, 0, 0), (0, 0, 4), refused=('petaling', 'cheras'))
        self.assertEqual(sum(on_demand), 8)
        self.assertEqual(on_demand[0], 0)

    def test_third_reclaim_stops_no_engine_that_serves(self):
        """When all reclaimable engines are lost, a cheaper data centre must not be preferred to one
        whose on-demand engines serve, because a start takes seconds."""
        on_demand, _ = self.ordered((0, 0, 0), (0, 2, 5), refused=NAMES)
        self.assertEqual(on_demand, [1, 2, 5])

    def test_reclaimable_ones_replace_the_others_without_a_gap(self):
        """After two reclaims, on-demand engines fill their data centres and take all requests. They
        must not all be stopped at once when reclaimable ones are available again."""
        planned = {(name, kind): 6 if kind else 0 for name in NAMES for kind in (True, False)}
        serving = {(name, kind): 0 for name in NAMES for kind in (True, False)}
        serving |= {('shah-alam', False): 6, ('petaling', False): 2, ('cheras', False): 6}
        least = 14
        for _ in range(12):
            order = next_fleet(planned, serving, (), 12, BOUNDS)
            for name in NAMES:
                self.assertLessEqual(order[name, False] + order[name, True], 6)
            # Engines stop at once; new ones serve later.
            kept = {key: min(count, serving[key]) for key, count in order.items()}
            least = min(least, sum(kept.values()))
            serving = order
        self.assertGreaterEqual(least, 12)
        self.assertEqual(serving, planned)

    def test_engines_that_serve_stay_while_reclaimable_ones_start(self):
        on_demand, started = self.ordered((0, 0, 0), (3, 3, 3))
        self.assertEqual((sum(on_demand), sum(started)), (8, 10))


if __name__ == '__main__':
    unittest.main()
