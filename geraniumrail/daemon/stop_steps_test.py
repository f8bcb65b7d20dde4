"""Guards the end of a process whose stop hangs in one step."""

import asyncio
import unittest

from geraniumrail.core.clock import SystemClock
from geraniumrail.daemon.stop_steps import StopSteps

LIMIT_S = 20


class StopStepsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        clock = SystemClock()
        self.steps = StopSteps(clock, clock.now())

    async def test_step_that_hangs_is_named_and_given_up(self):
        """A stop hung for minutes, and its log did not tell in which step."""

        async def hang():
            while True:
                try:
                    await released.wait()
                except asyncio.CancelledError:
                    continue
                return

        released, ended = asyncio.Event(), asyncio.Event()
        worker = asyncio.create_task(released.wait(), name='worker')

        async def end():
            ended.set()

        with self.assertLogs(level='ERROR') as logged:
            async with asyncio.timeout(LIMIT_S):
                await self.steps.run('first', hang())
                await self.steps.run('second', end())
        self.assertTrue(ended.is_set())
        self.assertIn('E0006', logged.output[0])
        self.assertIn('step="first"', logged.output[0])
        self.assertIn('worker: ', logged.output[0])
        released.set()
        await worker

    async def test_error_of_a_step_is_raised(self):
        """An error that is lost would end the process with 0."""

        async def fail():
            raise KeyError('unexpected')

        with self.assertRaises(KeyError):
            await self.steps.run('first', fail())


if __name__ == '__main__':
    unittest.main()
