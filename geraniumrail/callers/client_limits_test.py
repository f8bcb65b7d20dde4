"""Guards the sizes of the limits, and who gives way, without a network."""

import unittest
from unittest import mock

from geraniumrail.callers.client_limits import ClientLimits
from geraniumrail.callers.connection_limit import ConnectionLimit
from geraniumrail.callers.head_budget import HeadBudget, HeldHead

LARGEST_HEAD = 16_384


class Connection:
    def __init__(self, *, is_idle=True, has_served=False):
        self.is_idle, self.has_served, self.close_for_room = is_idle, has_served, mock.Mock()


class ClientLimitsTest(unittest.TestCase):
    def test_smallest_machine_takes_ordinary_clients(self):
        """A limit that clients inside the limits reach would refuse them."""
        clients = ClientLimits.from_machine(160, 1638)
        self.assertLess(clients.connections.limit + clients.backlog, 1638 - 200)
        self.assertGreater(clients.connections.limit, 900)
        self.assertGreater(clients.heads.limit_bytes // LARGEST_HEAD, 400)

    def test_source_with_the_most_gives_way(self):
        """Many heads of one client made the larger one of another give way."""
        budget = HeadBudget(100)
        given_up = []
        heads = [HeldHead('many', lambda at=at: given_up.append(at)) for at in range(4)]
        other = HeldHead('other', lambda: given_up.append('other'))
        budget.update(other, 40)
        for head in heads:
            budget.update(head, 20)
        self.assertEqual(len(given_up), 1)
        self.assertNotIn('other', given_up)
        self.assertEqual(budget.held_bytes, 100)

    def test_busy_connections_stay(self):
        """Without an idle connection the new one is closed; it has sent nothing yet."""
        limit = ConnectionLimit(2)
        busy = [Connection(is_idle=False) for _ in range(2)]
        newest = Connection()
        for each in (*busy, newest):
            limit.open(each)
        newest.close_for_room.assert_called_once_with()
        for each in busy:
            each.close_for_room.assert_not_called()

    def test_longest_idle_gives_way_first(self):
        """A caller that has just used its connection would find it closed."""
        limit = ConnectionLimit(2)
        first, second = (Connection(has_served=True) for _ in range(2))
        limit.open(first)
        limit.open(second)
        limit.touch(first)
        limit.open(Connection())
        second.close_for_room.assert_called_once_with()
        first.close_for_room.assert_not_called()


if __name__ == '__main__':
    unittest.main()
