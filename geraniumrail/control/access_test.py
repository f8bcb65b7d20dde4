"""Guards the calls of backend servers against entries of other writers."""

import random
import types
import unittest

from geraniumrail.control.access import MAX_CLOCK_ERROR_S, MS_PER_S, ControlAccess
from geraniumrail.errors.request import InvalidRequestError
from geraniumrail.links.requests import Announce
from geraniumrail.testing.followers import engine

WALL_S = 1_700_000_000.0


class AnnounceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.taken = []
        control = types.SimpleNamespace(
            addresses=lambda: ('127.0.0.1:1',),
            agreed_wall_time=lambda: WALL_S,
            leadership=types.SimpleNamespace(is_active=lambda: True),
            publisher=types.SimpleNamespace(receive_announcement=self.taken.append),
        )
        self.access = ControlAccess(control, None, random.Random(1))

    async def test_start_in_the_future_names_no_engine(self):
        """An announcement with a start that is too large outdated all of the engine's own."""
        with self.assertRaises(InvalidRequestError):
            await self.access.call(Announce(backend=engine('i-1', 2**53)))
        self.assertEqual(self.taken, [])

    async def test_wrong_clock_keeps_no_engine_out(self):
        """The clocks of the leader and of an engine may differ."""
        born_ms = int((WALL_S + MAX_CLOCK_ERROR_S / 2) * MS_PER_S)
        await self.access.call(Announce(backend=engine('i-1', born_ms)))
        self.assertEqual(len(self.taken), 1)


if __name__ == '__main__':
    unittest.main()
