"""Tests limits of organisations that are divided over the entries."""

import random
import unittest

from geraniumrail.control.usage_shares import UsageShares
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.quota import Quota
from geraniumrail.fairness.slack import Slack
from geraniumrail.links.messages import Usage

LARGE = Organisation(name='salon', in_tokens=True, rate_per_s=1000, burst=1000)
ENTRIES = ('a', 'b', 'c', 'd')


def admitted(shares_of_demand, seconds, demand_per_s, headroom=0):
    """Returns the tokens that all entries admit if the leader divides the limit each second."""
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
            update_shares(quotas, leader)
    return total


def refused_part(seed):
    """Returns the part of the tokens within a limit that the divided buckets refuse."""
    rng = random.Random(seed)
    small = Organisation(name='salon', in_tokens=True, rate_per_s=29_000, burst=29_000)
    quotas = {name: Quota(0.05, Slack(0.75 * 110_000, 8)) for name in ENTRIES}
    whole = Quota()
    whole.update(EntryShare(entries=1, share_by_organisation={'salon': 1}))
    leader = UsageShares()
    now, reported, within, refused = 0, 0, 0, 0
    while now < 60:
        now += rng.expovariate(5)
        if now - reported >= 1:
            reported = now
            update_shares(quotas, leader)
        tokens = min(57_000, rng.lognormvariate(7.4, 1))
        admitted_whole = whole.take(small, tokens, now) == 0
        admitted_part = rng.choice(list(quotas.values())).take(small, tokens, now) == 0
        within += tokens * admitted_whole
        refused += tokens * (admitted_whole and not admitted_part)
    return refused / within


def update_shares(quotas, leader):
    """Reports the demand of all entries to the leader and updates their shares."""
    for name, quota in quotas.items():
        demand = quota.pop_demand().items()
        leader.observe(name, tuple(Usage(organisation=each, tokens=sum_) for each, sum_ in demand))
    for name, quota in quotas.items():
        quota.update(leader.share(name))


class QuotaTest(unittest.TestCase):
    def test_uneven_flood_stays_within_the_limit(self):
        """An organisation sends many times its limit, most of it to one entry."""
        found = admitted((7, 1, 1, 1), 20, 6000)
        self.assertLess(found, 1.1 * (1000 * 20 + 1000))
        self.assertGreater(found, 0.8 * 1000 * 20)

    def test_demand_below_the_limit_is_admitted(self):
        """An organisation a little below its limit sends to entries at random."""
        found = admitted((3, 2, 2, 1), 30, 800, headroom=0.05)
        self.assertGreater(found, 0.95 * 800 * 30)

    def test_long_prompts_of_a_small_organisation_are_admitted(self):
        """A small organisation at half its limit sends requests of very different length to entries
        at random. The division of the limit refused a quarter of its tokens."""
        refused = [refused_part(seed) for seed in range(8)]
        self.assertLess(sum(refused) / len(refused), 0.1)

    def test_flood_through_a_restart_stays_within_the_bound(self):
        """One organisation floods while all entries are killed and restarted."""
        rate, slack, window_s, outage_s = 29_000, 110_000, 8, 1.5
        flood = Organisation(name='salon', in_tokens=True, rate_per_s=rate, burst=rate)
        total = 0
        for started in (0, 3 + outage_s):
            quotas = {name: Quota(0.05, Slack(0.75 * slack, window_s), started) for name in ENTRIES}
            for step in range(30 if started == 0 else 35):
                now = started + step / 10
                for quota in quotas.values():
                    quota.update(EntryShare(entries=len(ENTRIES), share_by_organisation={}))
                    total += sum(2000 for _ in range(9) if not quota.take(flood, 2000, now))
        self.assertLess(total, (rate * window_s + rate) * 1.1 + slack)

    def test_slack_is_used_by_an_organisation_above_its_limit(self):
        """A limit is lowered to half of what the organisation sends. In each window it may exceed
        the limit by the tolerated quarter, and no more."""
        rate, slack, window_s, windows = 29_000, 110_000, 8, 6
        low = Organisation(name='salon', in_tokens=True, rate_per_s=rate, burst=rate)
        quotas = {name: Quota(0.05, Slack(0.75 * slack, window_s)) for name in ENTRIES}
        total = 0
        for step in range(windows * window_s * 10):
            for quota in quotas.values():
                quota.update(EntryShare(entries=len(ENTRIES), share_by_organisation={}))
                total += sum(2000 for _ in range(2) if not quota.take(low, 2000, step / 10))
        self.assertGreater(total, 1.2 * rate * window_s * windows)
        self.assertLess(total, ((rate * window_s + rate) * 1.1 + slack) * windows)

    def test_organisation_without_a_limit_is_admitted(self):
        free = Organisation(name='salon')
        self.assertEqual(Quota().take(free, 1e9, 0), 0)

    def test_full_bucket_admits_one_request_above_the_burst(self):
        quota = Quota()
        self.assertEqual(quota.take(LARGE, 5000, 0), 0)
        self.assertGreater(quota.take(LARGE, 10, 1), 2)


if __name__ == '__main__':
    unittest.main()
