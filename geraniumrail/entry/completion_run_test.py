"""Guards accepted streams: completed at the exact token when two fifths of the engines are lost."""

import unittest
from unittest import mock

from geraniumrail.entry import completion_run
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.testing.streams import ScheduleFailedError, run_schedule


def _as_new(**fields):
    return QueueItem(**{**fields, 'resumed': False})


def _failures(count):
    """Returns what the check finds in the first schedules."""
    for seed in range(count):
        try:
            run_schedule(seed)
        except ScheduleFailedError as error:
            yield str(error)


class CompletionRunTest(unittest.TestCase):
    def test_accepted_streams_are_whole_after_a_wave_of_losses(self):
        self.assertEqual(list(_failures(4)), [])

    def test_check_finds_resumed_requests_that_are_refused(self):
        with mock.patch.object(completion_run, 'QueueItem', _as_new):
            self.assertTrue(any('queue limit' in failure for failure in _failures(16)))

    def test_check_finds_new_work_at_an_engine_that_stalled(self):
        with mock.patch.object(BackendTracker, 'is_unresponsive', return_value=False):
            self.assertTrue(any('after a stall' in failure for failure in _failures(16)))


if __name__ == '__main__':
    unittest.main()
