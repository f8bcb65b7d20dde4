"""Guards what the leader answers to entries, of this version and the one before."""

import random
import unittest
from unittest import mock

from geraniumrail.control.central_limits import CentralLimits
from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness import events
from geraniumrail.fairness.central_buckets import CentralBuckets
from geraniumrail.fairness.quota import QUOTA_HEADROOM, Quota
from geraniumrail.fairness.slack import Slack
from geraniumrail.links import wire
from geraniumrail.links.requests import TakeLimit

LIMIT = Organisation(name='salon', in_tokens=True, rate_per_s=29_000, burst=29_000)


class CentralLimitsTest(unittest.TestCase):
    def setUp(self):
        self.control = mock.Mock()
        self.control.publisher.usage_shares = UsageShares()
        self.control.publisher.leases.silent.return_value = 0
        self.control.machine.tables.deployment = mock.Mock(version=1, organisations=(LIMIT,))
        self.control.now.return_value = 0
        self.limits = CentralLimits(self.control, CentralBuckets(QUOTA_HEADROOM, Slack(80_000, 8)))
        self.limits.became_leader()

    def ask(self, now, **fields):
        self.control.now.return_value = now
        question = wire.decode(wire.encode(TakeLimit(organisation='salon', **fields)))
        return wire.decode(wire.encode(self.limits.take_limit(question)))

    def test_scarce_limit_goes_to_small_requests_and_is_told_to_all_entries(self):
        """An organisation asks for three times its limit. Only the entries that asked knew of it;
        the others held their requests for a lost leader."""
        rng = random.Random(1)
        granted = {200: 0, 9_000: 0}
        with mock.patch('geraniumrail.control.central_limits.log') as log:
            for step in range(240):
                size = rng.choice((200, 9_000))
                answer = self.ask(10 + step / 20, cost=size, size=size)
                granted[size] += answer.wait_s == 0
        self.assertGreater(granted[200], 2 * granted[9_000])
        self.assertGreater(granted[9_000], 30)
        self.assertEqual([call.args[0] for call in log.call_args_list], [events.LIMIT_SCARCE])
        quota = Quota(has_central_buckets=True)
        quota.update(self.control.publisher.usage_shares.share('entry-2'), 22)
        self.assertTrue(quota.scarce.is_large('salon', 9_000, 5, 22))
        self.assertFalse(quota.scarce.is_large('salon', 200, 5, 22))

    def test_entry_of_an_earlier_version_is_answered_in_order_of_arrival(self):
        """During a move to this version, entries that name no size must not count as small."""
        for step in range(100):
            answer = self.ask(10 + step / 50, cost=9_000)
        self.assertGreater(answer.wait_s, 0)
        self.assertEqual((answer.retry_after_s, answer.mean), (0, 0))

    def test_new_leader_is_told_the_mean(self):
        """After an election, large requests took what filled until the mean was known again."""
        self.control.now.return_value = 20
        self.limits.became_leader()
        known = {'cost': 9_000, 'size': 9_000, 'known_mean': 3_000}
        first = self.ask(20.01, **known)
        self.ask(20.02, **known)
        small = self.ask(20.6, cost=200, size=200, known_mean=3_000)
        self.assertEqual((first.wait_s, small.wait_s), (0, 0))
        self.assertEqual(self.ask(20.03, **known).mean, 3_000)


if __name__ == '__main__':
    unittest.main()
