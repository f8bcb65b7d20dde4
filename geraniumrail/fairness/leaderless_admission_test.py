"""Tests that limits hold, and requests within them are admitted, while there is no leader."""

import math
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
TOLERATED_TOKENS = 110_000
PROMPT_TOKENS = (9_200, 2_400, 960)
PROMPT_WEIGHTS = (0.4, 0.3, 0.3)
MEAN_TOKENS = sum(size * weight for size, weight in zip(PROMPT_TOKENS, PROMPT_WEIGHTS, strict=True))


def outage(rate, demand, seconds, seed):
    """Returns the tokens requested and admitted at all entries while there is no leader.

    A request that is not admitted is tried again at each arrival for 1.2 s, as entries do.
    """
    rng = random.Random(seed)
    organisation = Organisation(name='salon', in_tokens=True, rate_per_s=rate, burst=rate)
    quota = Quota(
        QUOTA_HEADROOM, Slack(0.75 * TOLERATED_TOKENS, WINDOW_S), has_central_buckets=True
    )
    quota.update(EntryShare(entries=ENTRIES, share_by_organisation={}))
    central_rate_per_s = quota.central_rate_per_s(organisation)
    admissions = [
        LeaderlessAdmission(random.Random(seed * 1000 + number)) for number in range(ENTRIES)
    ]
    requested = admitted = at = 0
    waiting = []
    while (at := at + rng.expovariate(demand / MEAN_TOKENS)) < seconds:
        cost = rng.choices(PROMPT_TOKENS, PROMPT_WEIGHTS)[0]
        requested += cost
        waiting.append((at, rng.randrange(ENTRIES), cost))
        remaining = []
        for arrived, number, tokens in waiting:
            if admissions[number].admit('salon', tokens, central_rate_per_s, at, 0):
                admitted += tokens
            elif at - arrived < 1.2:
                remaining.append((arrived, number, tokens))
        waiting = remaining
    return requested, admitted


def flood_in_a_partition(rate, cut_off, seed):
    """Returns the most tokens admitted in a window.

    The part `cut_off` of the entries is cut off from the leader for the 4 s of a lease.
    """
    rng = random.Random(seed)
    organisation = Organisation(name='salon', in_tokens=True, rate_per_s=rate, burst=rate)
    entries = Entries(ENTRIES, organisation=organisation)
    admissions = [
        LeaderlessAdmission(random.Random(seed * 1000 + number)) for number in range(ENTRIES)
    ]
    cut_at, healed_at = 12, 16
    for at, cost in arrivals(rng, 7.5 * rate, 10, 24):
        number = rng.randrange(ENTRIES)
        cut = math.ceil(cut_off * ENTRIES) if cut_at <= at < healed_at else 0
        if cut != len(entries.silent):
            entries.silence(cut, at)
        if number >= cut_off * ENTRIES or not cut_at <= at < healed_at:
            entries.admit(number, cost, at)
            continue
        quota = entries.quotas[number]
        claim = quota.claim(organisation, cost, at)
        central_rate_per_s = quota.central_rate_per_s(organisation)
        if claim.wait_s:
            continue
        if claim.shortfall and not admissions[number].admit(
            organisation.name, claim.shortfall, central_rate_per_s, at, cut_at
        ):
            quota.refund(organisation.name, claim.taken)
            continue
        entries.admitted.append((at, cost))
    return entries.most_in_window()


class LeaderlessAdmissionTest(unittest.TestCase):
    def test_flood_gets_no_more_than_the_central_buckets_would_grant(self):
        """An organisation floods just when the leader is lost. If each of 77 entries admitted one
        long prompt, the limit would be exceeded."""
        for rate in (29_000, 360_000):
            with self.subTest(rate=rate):
                found = [outage(rate, 7.5 * rate, 3, seed)[1] for seed in range(12)]
                granted = (
                    0.8 * (rate * (1 + QUOTA_HEADROOM) + 0.75 * TOLERATED_TOKENS / 2 / WINDOW_S) * 3
                )
                self.assertLess(sum(found) / len(found), 1.1 * granted)
                whole = (9 * rate) * 1.1 + TOLERATED_TOKENS
                self.assertLess(max(found), whole - 0.55 * rate * (WINDOW_S - 3))

    def test_large_organisation_is_served_without_a_leader(self):
        """The data centre of the leader loses power; entries serve for four seconds without it."""
        requested, admitted = zip(
            *(outage(360_000, 200_000, 3, seed) for seed in range(8)), strict=True
        )
        self.assertGreater(sum(admitted), 0.5 * sum(requested))

    def test_later_outage_counts_what_an_earlier_one_admitted(self):
        admission = LeaderlessAdmission(random.Random(1))
        first = [admission.admit('salon', 1000, 1000, now / 10, 0) for now in range(30)]
        again = [admission.admit('salon', 1000, 1000, 3 + now / 10, 3) for now in range(10)]
        self.assertGreater(sum(first), 1)
        self.assertEqual(sum(again), 0)

    def test_flood_through_a_cut_stays_within_the_bound(self):
        """Up to half of the entries are cut off from a running leader in a flood. They admit their
        share of the central part while the others use the same part."""
        for rate in (29_000, 360_000):
            for cut_off in (0.1, 0.2, 0.5):
                with self.subTest(rate=rate, cut_off=cut_off):
                    found = [flood_in_a_partition(rate, cut_off, seed) for seed in range(4)]
                    self.assertLess(max(found), bound_of(rate))


if __name__ == '__main__':
    unittest.main()
