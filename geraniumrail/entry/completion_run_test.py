"""Guards accepted streams: completed at the exact token when two fifths of the engines are lost."""

import unittest
from unittest import mock

from geraniumrail.entry import completion_run
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.routing.knowledge import Knowledge
from geraniumrail.testing.streams import ScheduleFailedError, run_schedule


def _as_new(**fields):
    return QueueItem(**{**fields, 'resumed': False})


class CompletionRunTest(unittest.TestCase):
    def test_accepted_streams_are_whole_after_a_wave_of_losses(self):
        for seed in (0, 3, 14):
            run_schedule(seed)

    def test_check_finds_resumed_requests_that_are_refused(self):
        switched_off = mock.patch.object(completion_run, 'QueueItem', _as_new)
        with switched_off, self.assertRaisesRegex(ScheduleFailedError, 'queue limit'):
            run_schedule(6)

    def test_check_finds_new_work_at_an_engine_that_stalled(self):
        switched_off = mock.patch.object(Knowledge, 'is_silent', return_value=False)
        with switched_off, self.assertRaisesRegex(ScheduleFailedError, 'new work after a stall'):
            run_schedule(3)


if __name__ == '__main__':
    unittest.main()
