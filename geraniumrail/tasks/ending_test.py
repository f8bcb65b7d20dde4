"""Guards the end of background tasks that miss a cancellation."""

import asyncio
import unittest

from geraniumrail.tasks.ending import end_tasks

LIMIT_S = 20


class EndingTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, missed):
        """Starts a task that misses some cancellations."""
        began = asyncio.Event()

        async def work():
            for _ in range(missed + 1):
                try:
                    began.set()
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    self.cancellations += 1
            raise asyncio.CancelledError

        self.cancellations = 0
        task = asyncio.create_task(work(), name='worker')
        await began.wait()
        return task

    async def test_task_that_misses_a_cancellation_is_ended(self):
        """The stop of an entry waited for ever for a follower that had missed one."""
        task = await self.start(missed=1)
        async with asyncio.timeout(LIMIT_S):
            await end_tasks([task])
        self.assertTrue(task.cancelled())

    async def test_task_that_does_not_end_is_named_and_left(self):
        """A stop hung and its log named no task."""
        task = await self.start(missed=100)
        with self.assertLogs(level='ERROR') as logged:
            async with asyncio.timeout(LIMIT_S):
                await end_tasks([task])
        self.assertIn('E1901', logged.output[0])
        self.assertIn('worker: ', logged.output[0])
        while not task.done():
            task.cancel()
            await asyncio.sleep(0)

    async def test_task_that_ends_is_cancelled_once(self):
        """A second cancellation would cut off what a task does at its end."""
        task = await self.start(missed=0)
        await end_tasks([task])
        self.assertEqual(self.cancellations, 1)


if __name__ == '__main__':
    unittest.main()
