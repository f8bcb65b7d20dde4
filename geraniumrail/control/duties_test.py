"""Guards usage reports and orders: identical repeats, one holder at a time, median clock."""

import asyncio
import logging
import types
import unittest

from geraniumrail.control.duties import CLOSE_DELAY_S, Duties
from geraniumrail.control.duty_call import DutyAnswer
from geraniumrail.control.median_clock import MedianClock
from geraniumrail.control.usage_ledger import UsageLedger
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.links.messages import EntryInfo, Started
from geraniumrail.state import (
    apply_deployment,  # noqa: F401  registers the commands
    commands,
)
from geraniumrail.state.apply import apply
from geraniumrail.state.tables import Tables

WINDOW_S = 5
LEASE_S = 3
REPORT_DUE_S = 10


class Api:
    """Records the calls; returns the prepared answers, then `accepted`."""

    def __init__(self):
        self.calls = []
        self.answers = []

    async def report(self, call, usage):
        self.calls.append((call.number, usage.window, dict(usage.counts)))
        return self.answers.pop(0) if self.answers else DutyAnswer.accepted


class Control:
    """A leader; several of them use the same tables in turn."""

    def __init__(self, tables):
        self.machine = types.SimpleNamespace(tables=tables)
        self.publisher = types.SimpleNamespace(usage_ledger=UsageLedger())
        self.leadership = types.SimpleNamespace(is_active=lambda: True)
        self.proposer = self
        self.clock = 1000.0

    async def propose(self, command):
        return apply(command, self.machine.tables)

    def now(self):
        return self.clock

    def agreed_wall_time(self):
        return self.clock


class DutiesTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.tables = Tables()
        organisations = (Organisation(name='salon'), Organisation(name='idle'))
        deployment = Deployment(version=1, organisations=organisations)
        apply(commands.ReplaceDeployment(deployment=deployment), self.tables)
        self.api = Api()

    def leader(self, holder):
        control = Control(self.tables)
        duties = Duties(control, self.api, holder, WINDOW_S, LEASE_S, None, REPORT_DUE_S)
        duties.became_leader()
        return control, duties

    def run_for(self, control, duties, seconds):
        for _ in range(int(seconds * 5)):
            control.clock += 0.2
            asyncio.run(duties.run_once())

    def count(self, control, entry, window, number):
        started = Started(window=window, counts={'salon': number})
        control.publisher.usage_ledger.observe(entry, [started])

    def test_window_is_reported_once_with_the_counts_of_all_entries(self):
        control, duties = self.leader('a')
        self.count(control, 'entry-1', 200, 7)
        self.count(control, 'entry-1', 200, 9)  # cumulative, so it includes the first
        self.count(control, 'entry-2', 200, 1)
        self.run_for(control, duties, 3 * WINDOW_S)
        reports = [call for call in self.api.calls if call[1] == 200]
        self.assertEqual(reports, [(1, 200, {'salon': 10, 'idle': 0})])

    def report(self, control, entry, instance, at, state='serving'):
        info = EntryInfo(
            entry=entry,
            instance=instance,
            address='',
            peer_address='',
            data_centre='',
            region='',
            state=state,
        )
        control.publisher.usage_ledger.record_report(info, at)

    def leader_after_two_entries(self):
        """Returns the successor of a leader to which two entries reported."""
        control, duties = self.leader('a')
        for entry, instance in (('entry-1', 'one'), ('entry-2', 'two')):
            self.report(control, entry, instance, 1099)
        self.run_for(control, duties, WINDOW_S + CLOSE_DELAY_S + 1)
        later, later_duties = self.leader('b')
        later.clock = control.clock
        later_duties.became_leader()
        return later, later_duties

    def test_window_waits_for_an_entry_that_is_cut_off(self):
        """An entry that is cut off serves on for some seconds, and reports its counts later; the
        window was closed without them."""
        control, duties = self.leader('a')
        self.count(control, 'entry-1', 200, 7)
        self.report(control, 'entry-1', 'one', 1099)
        self.report(control, 'entry-2', 'two', 1003)
        self.run_for(control, duties, WINDOW_S + 7)
        self.assertEqual([call for call in self.api.calls if call[1] == 200], [])
        self.count(control, 'entry-2', 200, 4)
        self.report(control, 'entry-2', 'two', control.clock)
        self.run_for(control, duties, 0.5)
        reports = [call for call in self.api.calls if call[1] == 200]
        self.assertEqual(reports, [(1, 200, {'salon': 11, 'idle': 0})])

    def test_new_leader_waits_for_an_entry_that_has_not_reported_to_it(self):
        """With one entry cut off and the leader lost, the new leader did not know of the entry and
        closed the window without its counts (inc-3f74)."""
        later, later_duties = self.leader_after_two_entries()
        self.count(later, 'entry-1', 201, 5)
        self.report(later, 'entry-1', 'one', 1099)
        self.run_for(later, later_duties, WINDOW_S + 2)
        self.assertEqual([call for call in self.api.calls if call[1] == 201], [])
        self.count(later, 'entry-2', 201, 4)
        self.report(later, 'entry-2', 'two', 1099)
        self.run_for(later, later_duties, 0.5)
        reports = [call for call in self.api.calls if call[1] == 201]
        self.assertEqual(reports, [(2, 201, {'salon': 9, 'idle': 0})])

    def test_new_leader_waits_again_in_the_next_window(self):
        """The entry reports too late for the first window, and in time for the second."""
        later, later_duties = self.leader_after_two_entries()
        self.report(later, 'entry-1', 'one', 1099)
        self.run_for(later, later_duties, WINDOW_S + REPORT_DUE_S - 1)
        self.assertEqual([call[1] for call in self.api.calls if call[1] > 200], [201])
        self.count(later, 'entry-2', 202, 4)
        self.report(later, 'entry-2', 'two', 1099)
        self.run_for(later, later_duties, 0.5)
        reports = [call for call in self.api.calls if call[1] == 202]
        self.assertEqual([call[2]['salon'] for call in reports], [4])

    def test_window_is_reported_in_time_without_an_entry_that_is_lost(self):
        control, duties = self.leader('a')
        self.report(control, 'entry-2', 'two', 1003)
        self.run_for(control, duties, WINDOW_S + REPORT_DUE_S - 1)
        self.assertEqual(len([call for call in self.api.calls if call[1] == 200]), 1)

    def test_window_does_not_wait_for_an_earlier_start_of_an_entry(self):
        control, duties = self.leader('a')
        self.report(control, 'entry-2.first', 'two', 1003)
        self.report(control, 'entry-2.second', 'two', 1099)
        self.report(control, 'entry-3', 'three', 1003, state='leaving')
        self.run_for(control, duties, WINDOW_S + CLOSE_DELAY_S + 0.5)
        self.assertEqual(len([call for call in self.api.calls if call[1] == 200]), 1)

    def test_report_without_an_answer_is_repeated_unchanged(self):
        """The first report may still be carried out; different counts would contradict it."""
        control, duties = self.leader('a')
        self.count(control, 'entry-1', 200, 7)
        self.api.answers = [DutyAnswer.accepted] * 3 + [DutyAnswer.unknown] * 2
        self.run_for(control, duties, WINDOW_S + CLOSE_DELAY_S + 1)
        self.count(control, 'entry-1', 200, 8)
        self.run_for(control, duties, WINDOW_S)
        counts = [call[2]['salon'] for call in self.api.calls if call[1] == 200]
        self.assertGreater(len(counts), 1)
        self.assertEqual(set(counts), {7})

    def test_new_leader_repeats_the_counts_in_the_log(self):
        control, duties = self.leader('a')
        self.count(control, 'entry-1', 200, 7)
        self.api.answers = [DutyAnswer.accepted] * 3 + [DutyAnswer.unknown] * 99
        self.run_for(control, duties, WINDOW_S + CLOSE_DELAY_S + 1)
        self.api.answers = []
        later, later_duties = self.leader('b')
        later.clock = control.clock
        later_duties.became_leader()
        self.count(later, 'entry-1', 200, 99)
        self.run_for(later, later_duties, WINDOW_S)
        reports = [call for call in self.api.calls if call[1] == 200]
        self.assertEqual({call[2]['salon'] for call in reports}, {7})
        self.assertEqual(reports[-1][0], 2)

    def test_new_holder_waits_so_that_holders_do_not_alternate(self):
        control, duties = self.leader('a')
        self.run_for(control, duties, 1)
        self.assertEqual(self.tables.duty.holder, 'a')
        later, later_duties = self.leader('b')
        later.clock = control.clock
        later_duties.became_leader()
        self.run_for(later, later_duties, LEASE_S - 0.5)
        self.assertEqual(self.tables.duty.holder, 'a')
        self.run_for(later, later_duties, 1)
        self.assertEqual((self.tables.duty.holder, self.tables.duty.number), ('b', 2))

    def test_refused_fencing_number_is_replaced(self):
        control, duties = self.leader('a')
        self.api.answers = [DutyAnswer.conflict]
        self.run_for(control, duties, 8)
        self.assertGreater(self.api.calls[-1][0], self.api.calls[0][0])

    def test_no_call_after_leadership_was_lost(self):
        control, duties = self.leader('a')
        control.leadership.is_active = lambda: False
        self.run_for(control, duties, 2 * WINDOW_S)
        self.assertEqual(self.api.calls, [])


class MedianClockTest(unittest.TestCase):
    def test_clocks_that_jump_do_not_move_the_median(self):
        """The time of day jumps on some machines, including the leader's."""
        median_clock = MedianClock()
        for number in range(4):
            median_clock.observe(f'entry-{number}', 5000.0 + number / 100, 100.0)
        before = median_clock.wall(5000.0, 100.0)
        median_clock.observe('entry-0', 7401.0, 101.0)
        self.assertAlmostEqual(median_clock.wall(2601.0, 101.0), before + 1, delta=0.05)
        self.assertAlmostEqual(median_clock.error_s('entry-0', 2601.0, 101.0), 2400, delta=0.1)


if __name__ == '__main__':
    unittest.main()
