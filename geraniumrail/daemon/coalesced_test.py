"""Guards the event loop against signals that each had the settings read again."""

import asyncio
import os
import signal
import unittest

from geraniumrail.daemon.coalesced import Coalesced
from geraniumrail.testing.virtual_loop import run_virtually

INTERVAL_S = 0.1


class CoalescedTest(unittest.TestCase):
    def test_requests_each_millisecond_are_few_runs(self):
        """A signal each millisecond for 40 s made 25,230 reloads, and the loop did little else."""

        async def play():
            runs = []
            reload = Coalesced(lambda: runs.append(0), INTERVAL_S)
            for _ in range(2000):
                reload.request()
                await asyncio.sleep(0.001)
            return len(runs)

        self.assertLessEqual(run_virtually(play()), 2 / INTERVAL_S + 2)

    def test_change_before_the_last_request_is_taken(self):
        """A change that came with a coalesced signal must not be left out, nor come late."""

        async def play():
            held, taken = [0], []
            loop = asyncio.get_running_loop()
            reload = Coalesced(lambda: taken.append((held[0], loop.time())), INTERVAL_S)
            for change in range(1, 50):
                held[0] = change
                reload.request()
                asked_at = loop.time()
                await asyncio.sleep(0.007)
            await asyncio.sleep(2 * INTERVAL_S)
            return taken, asked_at

        taken, asked_at = run_virtually(play())
        self.assertEqual(taken[0][0], 1)
        self.assertEqual(taken[-1][0], 49)
        self.assertLessEqual(taken[-1][1], asked_at + INTERVAL_S + 0.001)

    def test_failed_run_is_not_the_last(self):
        """After a failed run no request would be taken any more."""

        async def play():
            runs = []

            def act():
                runs.append(0)
                raise ValueError

            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            reload = Coalesced(act, INTERVAL_S)
            for _ in range(2):
                reload.request()
                await asyncio.sleep(2 * INTERVAL_S)
            return len(runs)

        self.assertEqual(run_virtually(play()), 2)

    def test_request_from_a_signal_handler(self):
        """The loop calls the handler of a signal outside of any task."""

        async def play():
            loop, done = asyncio.get_running_loop(), asyncio.Event()
            reload = Coalesced(done.set, INTERVAL_S)
            loop.add_signal_handler(signal.SIGUSR1, reload.request)
            os.kill(os.getpid(), signal.SIGUSR1)
            async with asyncio.timeout(5):
                await done.wait()
            loop.remove_signal_handler(signal.SIGUSR1)
            return done.is_set()

        self.assertTrue(asyncio.run(play()))


if __name__ == '__main__':
    unittest.main()
