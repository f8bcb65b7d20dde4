"""Guards requests that need a part of a limit against a leader that is lost or just elected."""

import random
import unittest

from geraniumrail.core.manual_clock import ManualClock
from geraniumrail.entry.borrower import ALONE_RETRY_S, PROBE_S, Borrower
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.link import LinkError
from geraniumrail.links.requests import LimitTaken, TakeLimit

NOT_LEADING = LimitTaken(leads=False)


class SteppingClock(ManualClock):
    """Time passes only while somebody sleeps."""

    async def sleep(self, seconds):
        self._now += seconds


class FakeDatagrams:
    """Gives prepared answers; the last one again and again."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = 0

    async def ask(self, address, question, timeout_s, tries):
        self.asked += 1
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise LinkError(address=address, reason='silent')
        return answer


async def borrow(*answers, limit_s=1.0, free_s=9):
    datagrams = FakeDatagrams(*answers)
    finder = LeaderFinder(('127.0.0.1:1',))
    clock = SteppingClock()
    borrower = Borrower(datagrams, finder, clock, random.Random(1), lambda: 0)
    question = TakeLimit(organisation='salon', cost=9_200)
    found = await borrower.borrow(question, limit_s, lambda heard_at: clock.now() > free_s)
    return found.wait_s, datagrams.asked


class BorrowerTest(unittest.IsolatedAsyncioTestCase):
    async def test_taken(self):
        self.assertEqual(await borrow(LimitTaken()), (0, 1))

    async def test_refusal_is_not_repeated(self):
        self.assertEqual(await borrow(LimitTaken(wait_s=0.3)), (0.3, 1))

    async def test_request_waits_for_an_election(self):
        """Pattern: the leader is killed; long prompts were refused until another one led."""
        self.assertEqual(await borrow(None, NOT_LEADING, NOT_LEADING, LimitTaken()), (0, 4))

    async def test_request_waits_for_a_ledger_that_fills(self):
        """Pattern: after a change of leader a fifth of the requests of two seconds was refused,
        though their organisations were within their limits."""
        filling = LimitTaken(wait_s=0.3, starting=True)
        self.assertEqual(await borrow(filling, filling, LimitTaken()), (0, 3))

    async def test_ledger_that_fills_is_not_waited_for_beyond_the_limit(self):
        wait_s, asked = await borrow(LimitTaken(wait_s=0.3, starting=True))
        self.assertEqual(wait_s, 0.3)
        self.assertLess(asked, 10)

    async def test_request_is_admitted_without_a_leader_when_its_share_has_accrued(self):
        found, asked = await borrow(NOT_LEADING, free_s=0.3)
        self.assertEqual(found, 0)
        self.assertLess(asked, 10)

    async def test_request_does_not_wait_for_long(self):
        with self.assertRaises(LinkError):
            await borrow(NOT_LEADING)

    async def test_scarce_limit_does_not_wait_for_a_silent_leader(self):
        """Pattern: a control process was frozen in a flood; the first rejected request was held for
        0.52 s, and all others up to 1.2 s, though their limit was known to be used up."""
        datagrams = FakeDatagrams(None)
        clock = SteppingClock()
        finder = LeaderFinder(('127.0.0.1:1',))
        borrower = Borrower(datagrams, finder, clock, random.Random(1), lambda: 0)
        question = TakeLimit(organisation='salon', cost=9_200, size=9_200, known_mean=3_800)
        began_at = clock.now()
        for _ in range(5):
            answer = await borrower.borrow(question, 1.0, lambda heard_at: False)
            self.assertEqual((answer.leads, answer.wait_s), (False, ALONE_RETRY_S))
        self.assertEqual((datagrams.asked, clock.now()), (1, began_at))
        await clock.sleep(PROBE_S)
        datagrams.answers = [LimitTaken(wait_s=0.3, starting=True, mean=3_800)]
        for _ in range(3):
            answer = await borrower.borrow(question, 1.0, lambda heard_at: False)
            self.assertEqual(answer.wait_s, 0.3)
        self.assertEqual((datagrams.asked, clock.now()), (4, began_at + PROBE_S))


if __name__ == '__main__':
    unittest.main()
