"""Guards a process against one unexpected error in a background task."""

import asyncio
import unittest

from geraniumrail.tasks.supervise import supervise

LIMIT_S = 20


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    async def test_task_goes_on_after_an_unexpected_error(self):
        calls = []

        async def work():
            calls.append(1)
            if len(calls) < 3:
                raise KeyError('unexpected')

        with self.assertLogs(level='ERROR') as logged:
            async with asyncio.timeout(LIMIT_S):
                await supervise('test', work)
        self.assertEqual(len(calls), 3)
        self.assertIn('E1900', logged.output[0])
        self.assertIn('supervise_test.py', logged.output[0])

    async def test_cancelled_task_ends(self):
        task = asyncio.create_task(supervise('test', asyncio.Event().wait))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == '__main__':
    unittest.main()
