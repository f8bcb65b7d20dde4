"""Guards how soon an entry finds the leader after all members were restarted."""

import asyncio
import types
import unittest

from geraniumrail.core.manual_clock import ManualClock, settle
from geraniumrail.entry.follower import Follower
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.consensus import NotLeaderError

MEMBERS = ('a:1', 'b:1', 'c:1')


class Links:
    """Members that name the leader they know, and notes of who was asked when."""

    def __init__(self, clock, leader_by_member):
        self.clock = clock
        self.leader_by_member = leader_by_member
        self.asked = []

    def client(self, address):
        return types.SimpleNamespace(follow=lambda reports: self.follow(address))

    async def follow(self, address):
        self.asked.append((round(self.clock.now(), 3), address))
        leader = self.leader_by_member[address]
        if leader != address:
            raise NotLeaderError(leader=leader)
        await asyncio.Event().wait()
        yield None


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asked(self, leader_by_member, seconds):
        clock = ManualClock()
        links = Links(clock, leader_by_member)
        follower = Follower(
            types.SimpleNamespace(
                end_lease=lambda: None, entry_count=types.SimpleNamespace(newest=4)
            ),
            types.SimpleNamespace(requeue_all=lambda: None),
            LeaderFinder(MEMBERS),
            links,
            clock,
            lambda sequence: None,
        )
        task = asyncio.create_task(follower.run())
        await settle()
        await clock.advance(seconds)
        task.cancel()
        return links.asked

    async def test_leader_that_a_member_names_is_asked_at_once(self):
        """Pattern: after a common restart three of four entries waited 0.4 s for their lease."""
        found = await self.asked({'a:1': 'c:1', 'b:1': 'c:1', 'c:1': 'c:1'}, 0)
        self.assertEqual(found, [(0, 'a:1'), (0, 'c:1')])

    async def test_members_that_name_each_other_are_asked_after_a_pause(self):
        found = await self.asked({'a:1': 'b:1', 'b:1': 'a:1', 'c:1': 'a:1'}, 2)
        self.assertLess(len(found), 60)

    async def test_member_that_knows_no_leader_is_left_after_a_pause(self):
        found = await self.asked({'a:1': None, 'b:1': 'b:1', 'c:1': 'b:1'}, 1)
        self.assertEqual(found[0], (0, 'a:1'))
        self.assertGreater(found[1][0], 0)


if __name__ == '__main__':
    unittest.main()
