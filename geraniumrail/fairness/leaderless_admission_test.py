"""Guards limits, and requests that are within them, while there is no leader."""

import random
import unittest

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.central_buckets_test import Entries, arrivals, bound_of
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.leaderless_admission import LeaderlessAdmission
from geraniumrail.fairness.quota import QUOTA_HEADROOM, Quota
from geraniumrail.fairness.slack import Slack

ENTRIES = 77
WINDOW_S = 8
TOLERATED = 110_000
SIZES = (9_200, 2_400, 960)
WEIGHTS = (0.4, 0.3, 0.3)
MEAN = sum(size * weight for size, weight in zip(SIZES, WEIGHTS, strict=True))


def outage(rate, demand, seconds, seed):
    """Returns the tokens asked and admitted by all entries while nobody lends.

    Callers come again and again while their request waits, as `Borrower` asks.
    """
    rng = random.Random(seed)
    holder = Organisation(name='salon', in_tokens=True, rate_per_s=rate, burst=rate)
    quota = Quota(QUOTA_HEADROOM, Slack(0.75 * TOLERATED, WINDOW_S), has_central_buckets=True)
    quota.update(EntryShare(entries=ENTRIES, share_by_organisation={}))
    lent_per_s = quota.central_rate_per_s(holder)
    shares = [LeaderlessAdmission(random.Random(seed * 1000 + number)) for number in range(ENTRIES)]
    asked = admitted = at = 0
    waiting = []
    while (at := at + rng.expovariate(demand / MEAN)) < seconds:
        cost = rng.choices(SIZES, WEIGHTS)[0]
        asked += cost
        waiting.append((at, rng.randrange(ENTRIES), cost))
        still = []
        for arrived, number, tokens in waiting:
            if shares[number].admit('salon', tokens, lent_per_s, at, 0):
                admitted += tokens
            elif at - arrived < 1.2:
                still.append((arrived, number, tokens))
        waiting = still
    return asked, admitted


def cut_in_a_flood(rate, cut_off, seed):
    """Returns the most tokens admitted in a window; entries are cut off for the 4 s of a lease."""
    rng = random.Random(seed)
    holder = Organisation(name='salon', in_tokens=True, rate_per_s=rate, burst=rate)
    entries = Entries(ENTRIES, holder=holder)
    shares = [LeaderlessAdmission(random.Random(seed * 1000 + number)) for number in range(ENTRIES)]
    cut_at, healed_at = 12, 16
    for at, cost in arrivals(rng, 7.5 * rate, 10, 24):
        number = rng.randrange(ENTRIES)
        if number >= cut_off * ENTRIES or not cut_at <= at < healed_at:
            entries.ask(number, cost, at)
            continue
        quota = entries.quotas[number]
        claim = quota.claim(holder, cost, at)
        lent_per_s = quota.central_rate_per_s(holder)
        if claim.wait_s:
            continue
        if claim.shortfall and not shares[number].admit(
            holder.name, claim.shortfall, lent_per_s, at, cut_at
        ):
            quota.refund(holder.name, claim.taken)
            continue
        entries.admitted.append((at, cost))
    return entries.most_in_window()


class LeaderlessAdmissionTest(unittest.TestCase):
    def test_flood_takes_no_more_than_would_have_been_lent(self):
        """Pattern: an organisation floods just when the leader is lost; of 77 entries each would
        have admitted a long prompt of it."""
        for rate in (29_000, 360_000):
            with self.subTest(rate=rate):
                found = [outage(rate, 7.5 * rate, 3, seed)[1] for seed in range(12)]
                lent = 0.8 * (rate * (1 + QUOTA_HEADROOM) + 0.75 * TOLERATED / 2 / WINDOW_S) * 3
                self.assertLess(sum(found) / len(found), 1.1 * lent)
                whole = (9 * rate) * 1.1 + TOLERATED
                self.assertLess(max(found), whole - 0.55 * rate * (WINDOW_S - 3))

    def test_large_organisation_is_served_meanwhile(self):
        """Pattern: the core loses its power; entries serve for four seconds without it."""
        asked, admitted = zip(
            *(outage(360_000, 200_000, 3, seed) for seed in range(8)), strict=True
        )
        self.assertGreater(sum(admitted), 0.5 * sum(asked))

    def test_later_outage_counts_what_an_earlier_one_admitted(self):
        share = LeaderlessAdmission(random.Random(1))
        first = [share.admit('salon', 1000, 1000, now / 10, 0) for now in range(30)]
        again = [share.admit('salon', 1000, 1000, 3 + now / 10, 3) for now in range(10)]
        self.assertGreater(sum(first), 1)
        self.assertEqual(sum(again), 0)

    def test_flood_through_a_cut_stays_within_the_bound(self):
        """Pattern: half of the entries are cut off from a leader that goes on, in a flood: they
        admit their share while the others use the same part of the ledger."""
        for rate in (29_000, 360_000):
            for cut_off in (0.1, 0.2, 0.5):
                with self.subTest(rate=rate, cut_off=cut_off):
                    found = [cut_in_a_flood(rate, cut_off, seed) for seed in range(4)]
                    self.assertLess(max(found), bound_of(rate))


if __name__ == '__main__':
    unittest.main()
