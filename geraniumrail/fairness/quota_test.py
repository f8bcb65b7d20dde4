"""Guards limits of organisations that are divided over the entries."""

import random
import unittest

from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.quota import Quota
from geraniumrail.links.messages import Usage

LARGE = Organisation(name='salon', in_tokens=True, rate_per_s=1000, burst=1000)
ENTRIES = ('a', 'b', 'c', 'd')


def admitted(shares_of_demand, seconds, demand_per_s, headroom=0):
    """Returns the tokens that all entries admit while the leader divides the limit each second."""
    rng = random.Random(3)
    quotas = {name: Quota(headroom) for name in ENTRIES}
    leader = UsageShares()
    for name in ENTRIES:
        leader.observe(name, ())
    total = 0
    for step in range(seconds * 10):
        now = step / 10
        for name in rng.choices(ENTRIES, shares_of_demand, k=demand_per_s // 10 // 20):
            total += 20 if quotas[name].take(LARGE, 20, now) == 0 else 0
        if step % 10 == 9:
            for name, quota in quotas.items():
                usage = tuple(
                    Usage(organisation=each, tokens=tokens)
                    for each, tokens in quota.take_demand().items()
                )
                leader.observe(name, usage)
            for name, quota in quotas.items():
                quota.update(leader.share(name))
    return total


class QuotaTest(unittest.TestCase):
    def test_flood_through_uneven_entries_stays_within_the_limit(self):
        """Pattern: one organisation sends many times its usual, most of it to one entry."""
        found = admitted((7, 1, 1, 1), 20, 6000)
        self.assertLess(found, 1.1 * (1000 * 20 + 1000))
        self.assertGreater(found, 0.8 * 1000 * 20)

    def test_demand_below_the_limit_is_admitted(self):
        """Pattern: an organisation is a little below its limit, through entries by chance."""
        found = admitted((3, 2, 2, 1), 30, 800, headroom=0.05)
        self.assertGreater(found, 0.95 * 800 * 30)

    def test_no_limit(self):
        free = Organisation(name='salon')
        self.assertEqual(Quota().take(free, 1e9, 0), 0)

    def test_request_above_the_burst_passes_a_full_bucket_once(self):
        quota = Quota()
        self.assertEqual(quota.take(LARGE, 5000, 0), 0)
        self.assertGreater(quota.take(LARGE, 10, 1), 2)


if __name__ == '__main__':
    unittest.main()
