"""Guards the manual clock: sleepers wake in order, at their time, and not before."""

import asyncio
import unittest

from geraniumrail.core.manual_clock import ManualClock, settle


class ManualClockTest(unittest.IsolatedAsyncioTestCase):
    async def test_sleepers_wake_in_order(self):
        clock = ManualClock()
        woken = []

        async def sleeper(seconds):
            await clock.sleep(seconds)
            woken.append((seconds, clock.now()))

        tasks = [asyncio.create_task(sleeper(seconds)) for seconds in (3, 1, 2)]
        await clock.advance(2)
        self.assertEqual(woken, [(1, 1), (2, 2)])
        await clock.advance(1)
        self.assertEqual(woken[-1], (3, 3))
        await asyncio.gather(*tasks)

    async def test_cancelled_sleeper_is_passed_over(self):
        clock = ManualClock()
        task = asyncio.create_task(clock.sleep(1))
        await settle()
        task.cancel()
        await clock.advance(2)
        self.assertEqual(clock.now(), 2)


if __name__ == '__main__':
    unittest.main()
