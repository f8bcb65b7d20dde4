"""Guards model placement: each version and used adapter has an engine, and few change."""

import unittest

from geraniumrail.placement.model_placement import place_adapters, place_versions


class ModelPlacementTest(unittest.TestCase):
    def test_canary_version_gets_an_engine_and_the_rest_stay(self):
        present = {f'e{number}': 'v1' for number in range(9)}
        placed = place_versions(present, {'v1': 0.95, 'v2': 0.05})
        self.assertEqual(sorted(placed.values()).count('v2'), 1)
        self.assertEqual(place_versions(placed, {'v1': 0.95, 'v2': 0.05}), placed)

    def test_adapters_have_copies_in_two_data_centres(self):
        centres = {'e1': 'a', 'e2': 'a', 'e3': 'b', 'e4': 'b'}
        placed = place_adapters(centres, {'hot': 9, 'cold': 1}, {'e1': ('cold',)}, slots=2)
        holders = {
            name: {centres[one] for one, adapters in placed.items() if name in adapters}
            for name in ('hot', 'cold')
        }
        self.assertEqual(holders, {'hot': {'a', 'b'}, 'cold': {'a', 'b'}})
        self.assertIn('cold', placed['e1'])


if __name__ == '__main__':
    unittest.main()
