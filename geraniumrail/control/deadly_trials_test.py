"""Guards the number of trials of deadly requests that come for a long time."""

import asyncio
import logging
import unittest

from geraniumrail.control.deadly_requests_test import MOST_AFTER, RequestDay
from geraniumrail.testing.virtual_loop import run_virtually


async def played(day, duration_s):
    await asyncio.sleep(1)
    await day.play(duration_s)
    await day.stop()
    return day.most_sent_too_late()


class DeadlyTrialsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_trials_of_a_long_day_are_few(self):
        """A request that comes for an hour crashed a fourth backend server as a trial."""

        async def play():
            day = RequestDay(4, 1, deadly_share=0.2, with_parts=False, rate_per_s=1)
            return await played(day, 3600)

        self.assertLessEqual(run_virtually(play()), MOST_AFTER)


if __name__ == '__main__':
    unittest.main()
