"""Guards what a scarce limit is spent on: an organisation asks for three times its limit."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import unittest
import unittest.mock

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.entry.borrower import ALONE_RETRY_S
from geraniumrail.fairness import central_buckets_test as plain
from geraniumrail.fairness import leaderless_admission_test
from geraniumrail.fairness.central_buckets import CentralBuckets, Reporting
from geraniumrail.fairness.central_buckets_test import TOKENS_PER_S, Entries, bound
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.leaderless_admission import LeaderlessAdmission
from geraniumrail.fairness.limit_spending import (
    MAX_RETRY_S,
    Asked,
    LimitSpending,
    is_large,
    useful_wait_s,
)
from geraniumrail.fairness.quota import MAX_BACK_OFF_S

# Kind: part of the requests, mean tokens, spread of the sizes, worth.
KINDS = {
    'long': (0.31, 9_200, 0.7, 2.1),
    'short': (0.36, 2_400, 0.5, 2.4),
    'chat': (0.11, 1_000, 0.5, 2.9),
    'plain': (0.22, 200, 0, 1.0),
}
MAX_TOKENS = 55_000
MEAN_TOKENS = sum(part * tokens for part, tokens, _, _ in KINDS.values())
TARGET_S, DEADLINE_S = 4.0, 12.0
BURST_AT, BURST_S, END = 25, 9, 60


@dataclasses.dataclass(frozen=True)
class Request:
    kind: str
    tokens: float
    arrived_at: float

    @property
    def worth(self):
        _, mean, _, worth = KINDS[self.kind]
        return worth * (0.3 + 0.7 * self.tokens / mean)


class SpendingEntries(Entries):
    """Entries that tell the leader the size of their requests, as those of a deployment do."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.retry_after_s = 0
        self.outage = (math.inf, math.inf, 0)  # from, until, part of the entries without a leader
        self.leaderless = [LeaderlessAdmission(random.Random(each)) for each in range(320)]

    def is_cut(self, number, now):
        since, until, part = self.outage
        is_out = since <= now < until
        if part == 1 and self.silent and not is_out:
            self.change_leader(now)
        if part and is_out != bool(self.silent):
            self.silence(math.ceil(part * len(self.quotas)) if is_out else 0, now)
        return number in self.silent

    def admit(self, number, cost, now):
        is_cut = self.is_cut(number, now)
        self.report(now)
        quota = self.quotas[number % len(self.quotas)]
        name, scarce = self.organisation.name, quota.scarce
        claim = quota.claim(self.organisation, cost, now)
        self.retry_after_s = claim.wait_s
        if claim.is_large:
            self.retry_after_s = max(claim.wait_s, scarce.large_retry_s(name, now))
        if claim.shortfall and is_cut:
            self.retry_after_s = self.decide_alone(number, claim, now)
        elif claim.shortfall:
            self.retry_after_s = self.ask(quota, cost, claim, now)
        if not self.retry_after_s:
            self.admitted.append((now, cost))
        return not self.retry_after_s

    def report(self, now):
        due_at = self.reports_at
        super().report(now)
        if self.reports_at > due_at:
            share = EntryShare(
                entries=len(self.quotas),
                share_by_organisation={},
                scarce_means=self.central.scarce_means(now),
            )
            for number, quota in enumerate(self.quotas):
                if number not in self.silent:
                    quota.update(share, now)

    def ask(self, quota, cost, claim, now):
        self.leader_requests += 1
        name, scarce = self.organisation.name, quota.scarce
        asked = scarce.pop_asked(name, cost, 5, now)
        reporting = self.reporting(now)
        grant = self.central.decide(self.organisation, claim.shortfall, now, reporting, asked)
        scarce.note(name, grant.mean, now)
        if not grant.wait_s:
            return 0
        quota.refund(name, claim.taken)
        if claim.is_large:
            wait_s = min(grant.wait_s, MAX_BACK_OFF_S)
            scarce.back_off_large(name, wait_s, grant.retry_after_s, now)
        else:
            quota.back_off(name, grant.wait_s, now)
        return max(grant.wait_s, grant.retry_after_s)

    def decide_alone(self, number, claim, now):
        quota = self.quotas[number]
        rate_per_s = quota.central_rate_per_s(self.organisation)
        name, since = self.organisation.name, self.outage[0]
        if self.leaderless[number].admit(name, claim.shortfall, rate_per_s, now, since):
            return 0
        quota.refund(name, claim.taken)
        quota.scarce.extend(name, now)
        return ALONE_RETRY_S


class PlainEntries(Entries):
    """Order of arrival; callers are told when the bucket is above 0."""

    retry_after_s = 0.05


def requests(rng, load):
    """Yields the requests of a minute; the load is a function of time, as a part of the limit."""
    at = 0
    most = 3
    while (at := at + rng.expovariate(most * TOKENS_PER_S / MEAN_TOKENS)) < END:
        kind = rng.choices(list(KINDS), [each[0] for each in KINDS.values()])[0]
        _, mean, spread, _ = KINDS[kind]
        tokens = min(MAX_TOKENS, rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))
        if rng.random() * most < load(at):
            yield Request(kind, tokens, at)


def burst(at):
    return 3 if BURST_AT <= at < BURST_AT + BURST_S else 0.4


@dataclasses.dataclass
class Outcome:
    asked: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    admitted: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    worth: float = 0
    asked_worth: float = 0
    tokens: float = 0
    rejections: int = 0

    def part(self, kind='all'):
        return self.admitted[kind] / max(1, self.asked[kind])


def serve(entries, rng, load=burst, counted=(BURST_AT, BURST_AT + BURST_S)):
    """Serves a minute in which callers retry once; counts what arrived in an interval."""
    outcome = Outcome()
    events = [(each.arrived_at, number, 0, each) for number, each in enumerate(requests(rng, load))]
    largest = sorted(each.tokens for _, _, _, each in events if each.kind == 'long')
    largest = largest[int(0.9 * len(largest))]
    heapq.heapify(events)
    numbers = itertools.count(len(events))
    while events:
        now, _, tries, request = heapq.heappop(events)
        kinds = ['all', request.kind]
        if request.kind == 'long' and request.tokens >= largest:
            kinds.append('largest')
        is_counted = counted[0] <= request.arrived_at < counted[1]
        if not tries and is_counted:
            outcome.asked.update(kinds)
            outcome.asked_worth += request.worth
        admitted = entries.admit(rng.randrange(len(entries.quotas)), request.tokens, now)
        if admitted:
            outcome.tokens += request.tokens
            if is_counted:
                late = now > request.arrived_at + TARGET_S
                outcome.worth += request.worth * (0.1 if late else 1)
                outcome.admitted.update(kinds)
        elif not tries:
            outcome.rejections += 1
            left_s = request.arrived_at - now
            wait_s = max(0.05, entries.retry_after_s) * rng.uniform(0.5, 1.5)
            wait_s = useful_wait_s(wait_s, DEADLINE_S + left_s, TARGET_S + left_s)
            heapq.heappush(events, (now + wait_s, next(numbers), 1, request))
    return outcome


def serve_all(kind, count, seeds=3, outage=None, **kwargs):
    """Serves the burst with several seeds; returns the sum and the most in a window."""
    total, most = Outcome(), 0
    for seed in range(seeds):
        entries = kind(count)
        if outage:
            entries.outage = outage
        outcome = serve(entries, random.Random(seed), **kwargs)
        most = max(most, entries.most_in_window())
        for field in dataclasses.fields(Outcome):
            both = getattr(total, field.name) + getattr(outcome, field.name)
            setattr(total, field.name, both)
    return total, most


class BoundsTest(plain.CentralBucketsTest):
    """The floods of the central buckets, with entries that tell the size of their requests."""

    def setUp(self):
        replaced = unittest.mock.patch.object(plain, 'Entries', SpendingEntries)
        replaced.start()
        self.addCleanup(replaced.stop)

    def test_flood_through_a_cut_stays_within_the_bound(self):
        """Up to half of the entries are cut off; they and the others use the same central part."""
        with unittest.mock.patch.object(leaderless_admission_test, 'Entries', SpendingEntries):
            for rate, cut_off in itertools.product((29_000, 360_000), (0.1, 0.2, 0.5)):
                most = leaderless_admission_test.flood_in_a_partition(rate, cut_off, 1)
                self.assertLess(most, plain.bound_of(rate))


class LimitSpendingTest(unittest.TestCase):
    def test_burst_is_spent_on_small_requests(self):
        """In order of arrival, long streams used up the limit: a third of the worth was lost."""
        for count, gain in ((4, 1.06), (23, 1.25), (83, 1.25)):
            with self.subTest(entries=count):
                before, _ = serve_all(PlainEntries, count)
                after, most = serve_all(SpendingEntries, count)
                self.assertGreater(after.worth, gain * before.worth)
                self.assertGreater(after.part(), before.part() + 0.04)
                self.assertGreater(after.tokens, 0.98 * before.tokens)
                self.assertLess(most, bound())

    def test_no_kind_and_no_size_starves(self):
        """The largest streams wait for what smaller ones leave."""
        for count in (4, 23, 83):
            with self.subTest(entries=count):
                found, _ = serve_all(SpendingEntries, count, counted=(0, END))
                self.assertGreater(found.part('largest'), 0.5 * found.part('long'))
                for kind in KINDS:
                    self.assertGreater(found.part(kind), 0.25 * found.part())

    def test_nothing_changes_below_the_limit(self):
        """An organisation at 0.55 of its limit must not notice that others' requests are sorted."""
        for count in (4, 23, 83):
            both = [kind(count) for kind in (PlainEntries, SpendingEntries)]
            for entries in both:
                serve(entries, random.Random(count), lambda at: 0.55)
            self.assertEqual(both[0].admitted, both[1].admitted)

    def test_limits_in_requests_are_kept_in_order_of_arrival(self):
        organisation = Organisation(name='salon', rate_per_s=5, burst=5)
        buckets = [CentralBuckets(), CentralBuckets()]
        reporting = Reporting(complete=True)
        for step in range(300):
            wait_s = buckets[0].take(organisation, 1, step / 20, reporting)
            asked = Asked(cost=1, local_rejected=3, local_tokens=90, known_mean=0.5)
            grant = buckets[1].decide(organisation, 1, step / 20, reporting, asked)
            self.assertEqual((grant.wait_s, grant.mean), (wait_s, 0))

    def test_faults_in_a_burst(self):
        """The leader is lost or frozen, or half of the entries are cut off, in a burst: the bound
        was exceeded, or small requests were admitted less often than without the fault before."""
        cases = {'lost': (2.5, 1), 'no leader': (4, 1), 'frozen': (7, 1), 'cut off': (4, 0.5)}
        for count, (fault, (seconds, part)) in itertools.product((4, 23, 83), cases.items()):
            with self.subTest(entries=count, fault=fault):
                outage = (BURST_AT + 3, BURST_AT + 3 + seconds, part)
                found, most = serve_all(SpendingEntries, count, outage=outage)
                self.assertLess(most, bound())
                calm, _ = serve_all(PlainEntries, count)
                self.assertGreater(found.part('short'), 0.9 * calm.part('short'))
                self.assertGreater(found.part('long'), 0.25 * found.part())

    def test_urgent_route_goes_first_at_equal_size(self):
        self.assertFalse(is_large(1_200, 2, 1_000))
        self.assertTrue(is_large(1_200, 5, 1_000))
        self.assertTrue(is_large(900, 8, 1_000))

    def test_retry_after_counts_those_rejected_before(self):
        """Each rejected request was told the few ms until the bucket is above 0."""
        spending = LimitSpending()
        for _ in range(40):
            spending.count(Asked(cost=200), 1)
        waits = [spending.rejected(Asked(cost=9_000), 30_000, 0.01, 1) for _ in range(50)]
        self.assertLess(waits[0], 0.02)
        self.assertGreater(waits[5], 1)
        self.assertLessEqual(waits[-1], MAX_RETRY_S)
        self.assertAlmostEqual(useful_wait_s(waits[-1], 9, 2), 1.6)
        self.assertAlmostEqual(useful_wait_s(waits[-1], 3, 2), 1)


if __name__ == '__main__':
    unittest.main()
