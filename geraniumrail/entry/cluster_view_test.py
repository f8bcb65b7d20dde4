"""Guards the entry's view: a new leader's first update neither drops nor keeps servers wrongly."""

import dataclasses
import unittest

from geraniumrail.control.backend_registry_test import announced_backend
from geraniumrail.core.load_row import LoadRow
from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.entry.cluster_view import CONFIRM_S, ClusterView
from geraniumrail.links.messages import ControlUpdate
from geraniumrail.routing.backend_tracker import BackendTracker


def update(term, backends=(), **changes):
    fields = {'answers': 1, 'lease_s': 4, 'revision': 0, 'registry_full': True}
    return ControlUpdate(term=term, backends=tuple(backends), **{**fields, **changes})


class ClusterViewTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.view = ClusterView(self.clock, BackendTracker())
        self.view.take(
            update(1, [announced_backend(1, lease_s=900), announced_backend(2, lease_s=900)]), 0
        )

    async def test_new_leader_that_knows_less_drops_nothing_at_once(self):
        self.view.take(update(2, [announced_backend(1, sequence=2, lease_s=900)]), 0)
        self.view.forget_unconfirmed()
        self.assertEqual(len(self.view.candidates('model-bench')), 2)

    async def test_server_that_the_new_leader_never_names_is_dropped(self):
        self.view.take(update(2, [announced_backend(1, sequence=2, lease_s=900)]), 0)
        await self.clock.advance(CONFIRM_S + 1)
        self.view.forget_unconfirmed()
        left = [backend.instance for backend in self.view.candidates('model-bench')]
        self.assertEqual(left, ['engine-1'])

    async def test_load_row_renews_the_lease_and_the_load(self):
        short = announced_backend(3, lease_s=6)
        self.view.take(update(1, [short], registry_full=False), 0)
        await self.clock.advance(5)
        row = LoadRow.from_backend(announced_backend(3, sequence=9))
        self.view.take(update(1, loads=(row,), registry_full=False), 5)
        await self.clock.advance(5)
        self.assertIn('engine-3', [each.instance for each in self.view.candidates('model-bench')])

    async def test_load_row_leaves_the_cold_time(self):
        """Each load row renewed the cold time of the announcement, which then never ended."""
        cold = self.view.knowledge.cold
        cold.follow([ServiceSpec(name='model-bench', cold_per_s=1)])
        server = announced_backend(3, cold_s=3)
        self.view.take(update(1, [server], registry_full=False), 0)
        for sequence in (2, 3, 4):
            self.assertTrue(cold.is_cold(server, self.clock.now()))
            await self.clock.advance(1)
            row = LoadRow.from_backend(announced_backend(3, sequence=sequence))
            self.view.take(update(1, loads=(row,), registry_full=False), 0)
        self.assertFalse(cold.is_cold(server, self.clock.now() + 0.01))

    async def test_server_whose_address_has_another_one_is_dropped(self):
        """A server that crashes while the leader changes is never announced to the new leader; it
        stayed listed for 15 s, with another server at its address."""
        dead = announced_backend(3, lease_s=900, incarnation=100)
        later = dataclasses.replace(announced_backend(4, incarnation=200), address=dead.address)
        self.view.take(update(1, [dead], registry_full=False), 0)
        self.view.take(update(2, [later]), 0)
        named = {each.instance for each in self.view.candidates('model-bench')}
        self.assertEqual(named, {'engine-1', 'engine-2', 'engine-4'})
        self.view.take(update(2, noted=(dead,), registry_full=False), 0)
        self.view.observe((dead,))
        self.assertNotIn('engine-3', self.view.backends_by_instance)

    async def test_update_of_an_earlier_leader_is_refused(self):
        self.view.take(update(3), 0)
        self.assertFalse(self.view.take(update(2), 0))


if __name__ == '__main__':
    unittest.main()
