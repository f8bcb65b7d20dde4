"""Checks histories of the replicated log under seeded failures.

Further tests disable a mechanism of the protocol and require that a check reports a violation.
"""

import contextlib
import itertools
import unittest
from unittest import mock

from geraniumrail.consensus import election
from geraniumrail.consensus.applier import Applier
from geraniumrail.consensus.journal import Journal
from geraniumrail.consensus.leadership import Leadership
from geraniumrail.consensus.request_handler import RequestHandler
from geraniumrail.consensus.testing import run_schedule

SEEDS = range(1, 31)
EARLY_SEEDS = range(101, 131)
SIZE_SEEDS = range(201, 221)
SIZES = (0, 0, 0, 30, 300, 3000)  # bytes
MAX_SEARCHED_SEEDS = 60
DURATION_S = 20  # of simulated time


async def return_at_once(journal):
    """Replaces `Journal.sync`."""


async def read_index_at_once(leadership):
    """Replaces `Leadership.read_index`."""
    return leadership._context.applier.commit_index


def ignore_previous_entry(handler, request):
    """Replaces `RequestHandler._mismatch_hint`."""
    last = handler._context.journal.last_index
    return last if request.prev_index > last else None


def ignore_candidate_log(handler, request):
    """Replaces `RequestHandler._vote_refusal_reason`."""
    refused = vote_refusal_reason(handler, request)
    return '' if refused == 'log is behind' else refused


def ignore_live_leader(handler, request):
    """Replaces `RequestHandler._vote_refusal_reason`."""
    refused = vote_refusal_reason(handler, request)
    return '' if refused == 'leader was heard' else refused


def is_long_by_entries(applier):
    """Replaces `Applier._is_long`."""
    since = applier.applied_index - applier._journal.snapshot.index
    return since >= applier._config.snapshot_after_entries


vote_refusal_reason = RequestHandler._vote_refusal_reason
last_index_as_durable = property(lambda journal: journal.last_index, lambda journal, index: None)


class ScheduleTest(unittest.TestCase):
    def test_histories_are_correct(self):
        reports = [run_schedule(seed, DURATION_S) for seed in SEEDS]
        violations = {one.seed: one.violations for one in reports if one.violations}
        self.assertEqual(violations, {})
        # Each kind of fault and outcome must occur often enough for the checks to mean something.
        for figure in ('crashes', 'lost_disks', 'cuts', 'installs', 'unknown', 'refused', 'reads'):
            self.assertGreater(sum(getattr(one, figure) for one in reports), 10, figure)
        self.assertGreater(sum(one.acknowledged for one in reports), 1000)
        self.assertGreater(sum(one.terms for one in reports), 2 * len(reports))

    def test_early_campaigns_keep_leases_apart(self):
        """Replicas that restart together may elect a leader before an old lease must have ended."""
        reports = [run_schedule(seed, DURATION_S, early=True) for seed in EARLY_SEEDS]
        violations = {one.seed: one.violations for one in reports if one.violations}
        self.assertEqual(violations, {})

    def test_logs_of_unlike_commands_are_correct_and_small(self):
        """Entries of a few bytes to 3,000 must be compacted by size, under the same failures."""
        reports = [run_schedule(seed, DURATION_S, sizes=SIZES) for seed in SIZE_SEEDS]
        violations = {one.seed: one.violations for one in reports if one.violations}
        self.assertEqual(violations, {})
        for figure in ('crashes', 'lost_disks', 'cuts', 'installs', 'unknown', 'refused', 'reads'):
            self.assertGreater(sum(getattr(one, figure) for one in reports), 10, figure)
        self.assertGreater(sum(one.acknowledged for one in reports), 1000)

    def test_log_that_is_compacted_by_entries_alone_is_detected(self):
        self.assert_detected(
            201,
            'bytes',
            mock.patch.object(Applier, '_is_long', is_long_by_entries),
            sizes=SIZES,
        )

    def test_early_vote_despite_a_live_leader_is_detected(self):
        self.assert_detected(
            151,
            'hold a lease',
            mock.patch.object(RequestHandler, '_vote_refusal_reason', ignore_live_leader),
            mock.patch.object(election, 'UNANIMOUS_EARLY_PRE_VOTE', new=False),
            early=True,
        )

    def test_same_seed_gives_the_same_report(self):
        """A failure must be reproducible by its seed."""
        self.assertEqual(run_schedule(5, DURATION_S), run_schedule(5, DURATION_S))

    def test_leader_without_a_lease_is_detected(self):
        self.assert_detected(
            5,
            'hold a lease',
            mock.patch.object(Leadership, 'has_lease', Leadership._is_leader),
            mock.patch.object(Leadership, '_check_lease', lambda leadership: None),
        )

    def test_acknowledging_before_the_sync_is_detected(self):
        self.assert_detected(
            20,
            'was lost',
            mock.patch.object(Journal, 'sync', return_at_once),
            mock.patch.object(Journal, 'durable_index', last_index_as_durable, create=True),
        )

    def test_read_without_a_majority_is_detected(self):
        self.assert_detected(
            2,
            'a read missed',
            mock.patch.object(Leadership, 'read_index', read_index_at_once),
        )

    def test_vote_for_a_shorter_log_is_detected(self):
        self.assert_detected(
            4,
            'another sequence',
            mock.patch.object(RequestHandler, '_vote_refusal_reason', ignore_candidate_log),
        )

    def test_append_after_a_conflicting_entry_is_detected(self):
        self.assert_detected(
            10,
            'another sequence',
            mock.patch.object(RequestHandler, '_mismatch_hint', ignore_previous_entry),
        )

    def assert_detected(self, first_seed, violation, *patches, early=False, sizes=()):
        """Runs seeds, from one known to report the violation, until it is reported."""
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            for seed in itertools.islice(itertools.count(first_seed), MAX_SEARCHED_SEEDS):
                report = run_schedule(seed, early=early, sizes=sizes)
                if any(violation in found for found in report.violations):
                    return
        self.fail(f'no seed has reported: {violation}')


if __name__ == '__main__':
    unittest.main()
