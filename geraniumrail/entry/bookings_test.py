"""Guards against bookings that run twice, stay open, or are answered falsely under failures."""

import unittest
from unittest import mock

from absl import logging

from geraniumrail.control.booking_reassignment import BookingReassignment
from geraniumrail.core.codec import decode, encode
from geraniumrail.entry.booking_run import BookingRun
from geraniumrail.entry.testing import run_schedule
from geraniumrail.errors.state import NotOwnerError, WrongPhaseError
from geraniumrail.state import apply_bookings, commands
from geraniumrail.state import booking as phases
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.machine import Machine
from geraniumrail.state.stored_answer import StoredAnswer
from geraniumrail.state.stored_call import StoredCall

KEY = BookingKey(organisation='salon-a', service='repair-desk', key='k')
CALL = StoredCall(method='POST', path='/bookings', route='bookings')
SEEDS = range(24)
SEARCHED = range(400)


def setUpModule():
    unittest.addModuleCleanup(logging.set_verbosity, logging.get_verbosity())
    logging.set_verbosity(logging.ERROR)


class SchedulesTest(unittest.TestCase):
    """Each test but the first switches one mechanism off and expects the check to fail."""

    def test_schedules(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_schedule(seed).violations, [])

    def test_same_seed_same_history(self):
        self.assertEqual(run_schedule(7), run_schedule(7))

    def assert_found(self, *expected):
        for seed in SEARCHED:
            found = ' '.join(run_schedule(seed).violations)
            if any(each in found for each in expected):
                return
        self.fail(f'{expected} not found')

    def test_detects_second_attempt_after_lost_answer(self):
        async def send_again(run, booking, reason):
            return await run._release(booking, reason)

        with mock.patch.object(BookingRun, '_resolve', send_again):
            self.assert_found('ran 2 times')

    def test_detects_missing_takeover(self):
        with mock.patch.object(BookingReassignment, 'run_once', mock.AsyncMock()):
            self.assert_found('is accepted at')

    def test_detects_late_copy_of_claim(self):
        def by_phase_only(found, epoch):
            return found.phase == phases.NOT_RUN

        with mock.patch.object(apply_bookings, '_claimable', by_phase_only):
            self.assert_found('is accepted at', 'after not_run though nobody asked again')

    def test_detects_false_not_run(self):
        async def say_not_run(run, booking, reason):
            return await run._finish(booking, phases.NOT_RUN, StoredAnswer(status=0))

        unchecked = mock.patch.object(apply_bookings, '_require_phase')
        with unchecked, mock.patch.object(BookingRun, '_resolve', say_not_run):
            self.assert_found('had run when a caller was told not_run')


class CommandsTest(unittest.TestCase):
    """Guards against late copies of commands and against results of replaced owners."""

    def setUp(self):
        self.machine = Machine()
        self.apply(commands.ClaimBooking(key=KEY, body_digest='d', call=CALL, owner='a'))

    def apply(self, command):
        return decode(self.machine.apply(self.machine.applied + 1, encode(command)))

    def dispatch(self, attempt, owner='a', epoch=1):
        return self.apply(
            commands.DispatchBooking(
                key=KEY, owner=owner, attempt=attempt, backend='s', epoch=epoch
            )
        )

    def finish(self, phase, attempt='', owner='a', epoch=1):
        return self.apply(
            commands.FinishBooking(
                key=KEY,
                owner=owner,
                phase=phase,
                attempt=attempt,
                epoch=epoch,
                answer=StoredAnswer(status=201),
            )
        )

    def assert_refused(self, result, expected):
        self.assertIsInstance(result.to_error(), expected)

    def test_late_copy_of_dispatch_after_release(self):
        self.dispatch('one')
        released = self.apply(commands.ReleaseBooking(key=KEY, owner='a', attempt='one'))
        self.assert_refused(self.dispatch('one'), WrongPhaseError)
        self.assertEqual(self.dispatch('two', epoch=released.booking.epoch).booking.attempt, 'two')

    def test_late_copy_of_claim_after_not_run(self):
        ended = self.finish(phases.NOT_RUN).booking
        claim = commands.ClaimBooking(key=KEY, body_digest='d', call=CALL, owner='a')
        self.assertEqual(self.apply(claim).booking, ended)
        again = commands.ClaimBooking(
            key=KEY, body_digest='d', call=CALL, owner='a', epoch=ended.epoch
        )
        self.assertEqual(self.apply(again).booking.phase, phases.ACCEPTED)
        self.assert_refused(self.finish(phases.NOT_RUN), WrongPhaseError)

    def test_result_of_replaced_owner(self):
        self.dispatch('one')
        self.apply(commands.ReassignBooking(key=KEY, from_owner='a', to_owner='b'))
        self.assert_refused(self.finish(phases.OUTCOME_UNKNOWN, 'one'), NotOwnerError)
        self.assert_refused(self.finish(phases.DONE, 'other'), NotOwnerError)
        self.assertEqual(self.finish(phases.DONE, 'one').booking.phase, phases.DONE)
        kept = self.finish(phases.OUTCOME_UNKNOWN, 'one', owner='b').booking
        self.assertEqual(kept.phase, phases.DONE)


if __name__ == '__main__':
    unittest.main()
