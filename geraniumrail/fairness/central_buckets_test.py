"""Tests limits of which each of many entries holds a small part."""

import collections
import itertools
import random
import unittest

from geraniumrail.control.central_limits import OVERDUE_S
from geraniumrail.control.entry_leases import LEASE_S
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.central_buckets import CentralBuckets, Reporting
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.quota import QUOTA_HEADROOM, Quota
from geraniumrail.fairness.slack import Slack
from geraniumrail.links.report_interval import report_interval_s

TOKENS_PER_S = 29_000  # of a small organisation
WINDOW_S = 8
TOLERATED_TOKENS = 110_000  # in a window
SLACK = Slack(0.75 * TOLERATED_TOKENS, WINDOW_S)
MAX_PROMPT_TOKENS = 14_000
SMALL = Organisation(name='salon', in_tokens=True, rate_per_s=TOKENS_PER_S, burst=TOKENS_PER_S)
ENTRY_COUNTS = (4, 27, 77, 320)
LARGE = Organisation(name='salon', in_tokens=True, rate_per_s=240_000, burst=240_000)


class Entries:
    """Entries that take what their local buckets cannot cover from the central buckets."""

    def __init__(self, count, has_central_buckets=True, started_at=0.0, organisation=SMALL):
        self.organisation = organisation
        self.quotas = [
            Quota(QUOTA_HEADROOM, SLACK, started_at, has_central_buckets=has_central_buckets)
            for _ in range(count)
        ]
        for quota in self.quotas:
            quota.update(EntryShare(entries=count, share_by_organisation={}))
        self.central = CentralBuckets(QUOTA_HEADROOM, SLACK)
        self.central.restart(started_at)
        self.leader_since = started_at
        self.leader_requests = 0
        self.admitted = []  # (seconds, tokens)
        self.reports_at = started_at  # next reports of the entries to the leader
        self.silent = range(0)  # numbers of entries that do not report
        self.silent_since = started_at

    def change_leader(self, now):
        self.central.restart(now)
        self.leader_since = now

    def silence(self, count, now):
        """Cuts off the reports of the first entries; the leader notices it later."""
        self.silent = range(count)
        self.silent_since = now

    def reporting(self, now):
        """Returns what the leader knows of the entries."""
        interval_s = report_interval_s(len(self.quotas))
        noticed = now > self.silent_since + interval_s + OVERDUE_S
        return Reporting(
            entries=len(self.quotas),
            silent=len(self.silent) if noticed else 0,
            complete=now > self.leader_since + LEASE_S,
            interval_s=interval_s,
        )

    def report(self, now):
        """Reports what the entries have admitted from their local buckets."""
        while self.reports_at <= now:
            self.reports_at += report_interval_s(len(self.quotas))
            for number, quota in enumerate(self.quotas):
                if number not in self.silent:
                    used = quota.pop_admitted().get(self.organisation.name, 0)
                    self.central.charge(self.organisation, used, now, self.reporting(now))

    def admit(self, number, cost, now):
        """Returns whether the entry with this number admits a request."""
        self.report(now)
        quota = self.quotas[number % len(self.quotas)]
        claim = quota.claim(self.organisation, cost, now)
        wait_s = claim.wait_s
        if claim.shortfall:
            self.leader_requests += 1
            wait_s = self.central.take(self.organisation, claim.shortfall, now, self.reporting(now))
            if wait_s:
                quota.refund(self.organisation.name, cost - claim.shortfall)
                quota.back_off(self.organisation.name, wait_s, now)
        if wait_s:
            return False
        self.admitted.append((now, cost))
        return True

    def most_in_window(self):
        """Returns the most tokens admitted in any window."""
        window, total, most = collections.deque(), 0, 0
        for at, cost in self.admitted:
            window.append((at, cost))
            total += cost
            while window[0][0] <= at - WINDOW_S:
                total -= window.popleft()[1]
            most = max(most, total)
        return most


def arrivals(rng, tokens_per_s, since, until):
    """Yields times and costs of long and short prompts and plain requests."""
    mean = 0.4 * 9_200 + 0.3 * 2_400 + 0.3 * 200
    at = since
    while (at := at + rng.expovariate(tokens_per_s / mean)) < until:
        drawn = rng.choices((9_200, 2_400, 200), (0.4, 0.3, 0.3))[0]
        yield at, min(MAX_PROMPT_TOKENS, drawn * rng.uniform(0.6, 1.4))


def bound_of(rate):
    """Returns the most tokens that may be admitted in a window."""
    return (rate * WINDOW_S + rate) * 1.1 + TOLERATED_TOKENS


def bound():
    return bound_of(TOKENS_PER_S)


def refused_part(count, seed, has_central_buckets=True):
    """Returns the refused part of the requests of an organisation a little above half its limit."""
    rng = random.Random(seed)
    entries = Entries(count, has_central_buckets)
    requested = refused = 0
    for at, cost in arrivals(rng, TOKENS_PER_S / 1.8, 2, 62):
        requested += 1
        refused += not entries.admit(rng.randrange(count), cost, at)
    return refused / requested


class CentralBucketsTest(unittest.TestCase):
    def test_requests_within_the_limit_are_admitted_with_any_number_of_entries(self):
        """A small organisation sends long prompts to entries at random. When the whole limit was
        divided over 77 entries, a third of all requests was refused without any other fault."""
        for count in ENTRY_COUNTS:
            with self.subTest(entries=count):
                refused = sum(refused_part(count, seed) for seed in range(8)) / 8
                self.assertLessEqual(refused, 0.01)
        divided = sum(refused_part(77, seed, has_central_buckets=False) for seed in range(4)) / 4
        self.assertGreater(divided, 0.2)

    def test_flood_stays_within_the_bound(self):
        """An organisation that was idle sends many times its limit."""
        for count in ENTRY_COUNTS:
            with self.subTest(entries=count):
                rng = random.Random(count)
                entries = Entries(count)
                for at, cost in arrivals(rng, 7.5 * TOKENS_PER_S, 10, 40):
                    entries.admit(rng.randrange(count), cost, at)
                self.assertLess(entries.most_in_window(), bound())
                self.assertGreater(sum(cost for _, cost in entries.admitted), TOKENS_PER_S * 30)

    def test_flood_of_a_large_organisation_stays_within_the_bound(self):
        """Local use is known to the leader only with the next report; half of the entries are
        silent for a while, and use their local parts all the same."""
        for count, organisation in itertools.product((4, 27), (SMALL, LARGE)):
            with self.subTest(entries=count, rate_per_s=organisation.rate_per_s):
                rng = random.Random(count)
                entries = Entries(count, organisation=organisation)
                rate = organisation.rate_per_s
                for at, cost in arrivals(rng, 7.5 * rate, 10, 40):
                    silent = count // 2 if 15 < at < 18 or 25 < at < 31 else 0
                    if silent != len(entries.silent):
                        entries.silence(silent, at)
                    entries.admit(rng.randrange(count), cost, at)
                self.assertLess(entries.most_in_window(), bound_of(rate))

    def test_limit_is_used_while_entries_restart(self):
        """An organisation floods while half of the entries take no callers, since they are stopped
        and started in turn. Their local parts, and those of the processes before, were lost to the
        organisation: it was admitted at two thirds of its limit."""
        rng = random.Random(9)
        entries = Entries(4, organisation=LARGE)
        admitted = sum(
            cost
            for at, cost in arrivals(rng, 5 * LARGE.rate_per_s, 10, 30)
            if entries.admit(rng.randrange(2), cost, at)
        )
        self.assertGreater(admitted, LARGE.rate_per_s * 20)

    def test_flood_is_admitted_at_the_limit(self):
        """An organisation stays far above its limit. It was refused while a window held less than
        its rate and its burst, since the tolerance was given to the start of the flood."""
        for count, organisation in itertools.product((4, 27, 77), (SMALL, LARGE)):
            with self.subTest(entries=count, rate_per_s=organisation.rate_per_s):
                rng = random.Random(count)
                entries = Entries(count, organisation=organisation)
                rate = organisation.rate_per_s
                admitted = sum(
                    cost
                    for at, cost in arrivals(rng, 5 * rate, 10, 42)
                    if entries.admit(rng.randrange(count), cost, at) and at >= 18
                )
                self.assertGreater(admitted / 24 * WINDOW_S, 0.97 * (rate * WINDOW_S + rate))

    def test_flood_through_changes_of_leader_stays_within_the_bound(self):
        """The leader is lost repeatedly while an organisation floods."""
        rng = random.Random(5)
        entries = Entries(27)
        next_leader_at = 12
        for at, cost in arrivals(rng, 4 * TOKENS_PER_S, 10, 40):
            if at > next_leader_at:
                entries.change_leader(at)
                next_leader_at = at + rng.uniform(0.5, 4)
            entries.admit(rng.randrange(27), cost, at)
        self.assertLess(entries.most_in_window(), bound())

    def test_parts_after_a_change_of_leader_stay_within_the_whole(self):
        """Entries report to a new leader one after the other. The first was sent the share of a
        single entry, the second that of one of two, and all parts came to five times the limit."""
        for has_central_buckets in (True, False):
            with self.subTest(has_central_buckets=has_central_buckets):
                entries = Entries(77, has_central_buckets)
                for known, quota in enumerate(entries.quotas, 1):
                    alone = EntryShare(entries=known, share_by_organisation={SMALL.name: 1 / known})
                    quota.update(alone, 3)
                whole = sum(quota.part(SMALL.name) for quota in entries.quotas)
                self.assertLessEqual(whole, 1 + 1e-9)

    def test_parts_of_lost_entries_go_to_the_others(self):
        entries = Entries(8, has_central_buckets=False)
        for quota in entries.quotas[:4]:
            for now in range(1, 10):
                quota.update(EntryShare(entries=4, share_by_organisation={}), now)
            self.assertAlmostEqual(quota.part(SMALL.name), 1 / 4)

    def test_flood_through_a_common_restart_stays_within_the_bound(self):
        """All entries and the leader are killed while an organisation floods."""
        rng = random.Random(6)
        entries = Entries(27)
        for at, cost in arrivals(rng, 4 * TOKENS_PER_S, 10, 14):
            entries.admit(rng.randrange(27), cost, at)
        restarted = Entries(27, started_at=15.5)
        restarted.admitted = entries.admitted
        for at, cost in arrivals(rng, 4 * TOKENS_PER_S, 15.6, 30):
            restarted.admit(rng.randrange(27), cost, at)
        self.assertLess(restarted.most_in_window(), bound())

    def test_long_prompts_are_not_starved_by_short_ones(self):
        """Short requests of an organisation above its limit must not take all tokens before there
        are enough for a long request."""
        rng = random.Random(7)
        entries = Entries(77)
        requested, admitted = collections.Counter(), collections.Counter()
        for at, cost in arrivals(rng, 3 * TOKENS_PER_S, 2, 62):
            kind = 'long' if cost > 5_000 else 'short'
            requested[kind] += 1
            admitted[kind] += entries.admit(rng.randrange(77), cost, at)
        served = {kind: admitted[kind] / requested[kind] for kind in requested}
        self.assertGreater(served['long'], 0.5 * served['short'])

    def test_refusals_bound_the_requests_to_the_leader(self):
        """In a flood far above the limit, each refused request was also a request to the leader."""
        rng = random.Random(8)
        entries = Entries(4)
        requested = 0
        for at, cost in arrivals(rng, 100 * TOKENS_PER_S, 10, 20):
            requested += 1
            entries.admit(rng.randrange(4), cost, at)
        self.assertLess(entries.leader_requests, requested / 2)

    def test_organisation_without_a_limit_is_admitted(self):
        self.assertEqual(CentralBuckets().take(Organisation(name='free'), 1e9, 0, Reporting()), 0)


if __name__ == '__main__':
    unittest.main()
