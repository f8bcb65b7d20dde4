"""Tests of the bound on the bytes of callers' bodies."""

import asyncio
import contextlib
import unittest

from geraniumrail.errors.request import NotRunError
from geraniumrail.forwarding.body_budget import BodyBudget

LIMIT_S = 20


class BodyBudgetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.budget = BodyBudget(100)

    async def arrive(self, source, count, limit_s=LIMIT_S):
        """Lets bytes arrive of a body that does not end."""
        with self.budget.request(source) as body:
            async with body.reading(limit_s) as hold:
                hold.add(count)
                await asyncio.Event().wait()

    async def test_largest_arriving_body_is_refused(self):
        """A small request was not to be refused because others send large bodies slowly."""
        tasks = [asyncio.create_task(self.arrive('a', count)) for count in (30, 40, 20)]
        await asyncio.sleep(0)
        small = asyncio.create_task(self.arrive('b', 20))
        done, _ = await asyncio.wait(tasks, timeout=LIMIT_S, return_when=asyncio.FIRST_COMPLETED)
        self.assertEqual(done, {tasks[1]})
        with self.assertRaises(NotRunError) as caught:
            tasks[1].result()
        self.assertIsNotNone(caught.exception.fields['retry_after_s'])
        self.assertFalse(small.done())
        for task in (*tasks, small):
            task.cancel()
        await asyncio.gather(*tasks, small, return_exceptions=True)
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_one_source_leaves_room(self):
        """With 96 of 100 bytes held by one source, small bodies of another got 503."""
        with contextlib.ExitStack() as requests:
            for source, count in (('a', 32), ('b', 10)):
                refused = 0
                for _ in range(count):
                    try:
                        async with requests.enter_context(self.budget.request(source)).reading(
                            LIMIT_S
                        ) as hold:
                            hold.add(3 if source == 'a' else 1)
                            await asyncio.sleep(0)
                    except NotRunError:
                        refused += 1
                if source == 'a':
                    self.assertGreaterEqual(self.budget.held_bytes, 84)
            self.assertEqual(refused, 0)
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_failed_body_is_not_given_up(self):
        """A body whose reading has failed can't be refused once more."""
        with self.budget.request('a') as failed:
            with contextlib.suppress(ValueError):
                async with failed.reading(LIMIT_S) as hold:
                    hold.add(80)
                    raise ValueError
            with self.assertRaises(NotRunError):
                await self.arrive('b', 30)
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_late_body_is_not_given_up_as_well(self):
        """The request whose bytes exceed the budget would fail for the lateness of another."""
        loop, errors = asyncio.get_running_loop(), []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        with self.budget.request('a') as late, self.budget.request('b') as arriving:
            with contextlib.suppress(TimeoutError):
                async with late.reading(0) as hold:
                    hold.add(80)
                    loop.call_soon(arriving.hold.add, 30)  # after the limit, before the task
                    await asyncio.Event().wait()
            self.assertEqual(self.budget.held_bytes, 30)
        self.assertEqual(errors, [])

    async def test_slow_body_is_told_apart(self):
        """A body that is late is no lack of room."""
        with self.assertRaises(TimeoutError):
            await self.arrive('a', 20, limit_s=0)


if __name__ == '__main__':
    unittest.main()
