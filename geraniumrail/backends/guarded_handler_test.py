"""Guards what a connection remembers of the requests that it has carried."""

import asyncio
import sys
import unittest

from geraniumrail.backends.answer_budget import AnswerBudget
from geraniumrail.backends.guarded_handler import (
    MAX_ANSWER_BYTES,
    MAX_REQUESTS,
    GuardedHandler,
    IdleLimits,
)

BYTES_EACH = 16  # of one remembered request, with what the array has in reserve


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    def make_handler(self):
        return GuardedHandler(
            asyncio.get_running_loop(), IdleLimits(15), AnswerBudget(MAX_ANSWER_BYTES)
        )

    async def test_connection_carries_a_request_once(self):
        handler = self.make_handler()
        ids = [f'req-{number}' for number in range(MAX_REQUESTS)]
        self.assertTrue(all(handler.claim(each) for each in ids))
        self.assertFalse(any(handler.claim(each) for each in ids))
        self.assertEqual(handler.requests, MAX_REQUESTS)

    async def test_requests_without_an_id_are_not_remembered(self):
        """All of them would be taken for one that comes again."""
        handler = self.make_handler()
        self.assertTrue(all(handler.claim('') for _ in range(3)))
        self.assertEqual(handler.requests, 0)

    async def test_memory_of_a_connection_is_bounded_for_long_ids(self):
        """Callers choose the ids and their length; a connection that can't remember more ends."""
        handler = self.make_handler()
        for number in range(MAX_REQUESTS):
            self.assertFalse(handler.should_close)
            handler.claim(f'{number}-' + 'x' * 4000)
        self.assertTrue(handler.should_close)
        self.assertLess(sys.getsizeof(handler._carried), BYTES_EACH * MAX_REQUESTS)


if __name__ == '__main__':
    unittest.main()
