"""Guards questions in datagrams against loss, repetition and malformed content."""

import asyncio
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from geraniumrail.errors.link import LinkError
from geraniumrail.links import wire
from geraniumrail.links.datagrams import Answer, Datagrams, Question
from geraniumrail.links.requests import LimitTaken, TakeLimit

QUESTION = TakeLimit(organisation='salon', cost=9_200)
TRY_S = 0.05
LIMIT_S = 10


class Lossy(Datagrams):
    """Loses the first datagrams that arrive."""

    lost = 0

    def datagram_received(self, data, addr):
        if self.lost:
            self.lost -= 1
            return
        super().datagram_received(data, addr)


class DatagramsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.taken = []
        self.leader, self.entry = Lossy('127.0.0.1:0'), Lossy('127.0.0.1:0')
        for each in (self.leader, self.entry):
            await each.start()
            self.addCleanup(each.stop)
        self.leader.register(TakeLimit, self.take)

    def take(self, question):
        self.taken.append(question)
        return LimitTaken(wait_s=0.5)

    async def ask(self, tries=20):
        async with asyncio.timeout(LIMIT_S):
            return await self.entry.ask(self.leader.address, QUESTION, TRY_S, tries)

    async def test_question_is_answered(self):
        self.assertEqual(await self.ask(), LimitTaken(wait_s=0.5))
        self.assertEqual(self.taken, [QUESTION])

    async def test_lost_question_is_repeated(self):
        self.leader.lost = 2
        self.assertEqual(await self.ask(), LimitTaken(wait_s=0.5))

    async def test_repeated_question_is_carried_out_once(self):
        """Pattern: the answer was lost; the same request was counted twice."""
        self.entry.lost = 2
        self.assertEqual(await self.ask(), LimitTaken(wait_s=0.5))
        self.assertEqual(len(self.taken), 1)

    async def test_no_answer(self):
        self.leader.lost = 1000
        with self.assertRaises(LinkError):
            await self.ask(tries=2)

    async def test_late_answer_is_dropped(self):
        """Pattern: an answer comes after its question was given up."""
        self.leader.lost = 1000
        with self.assertRaises(LinkError):
            await self.ask(tries=1)
        late = Answer(number=self.entry._number, content=wire.encode(LimitTaken(wait_s=9)))
        self.entry.datagram_received(wire.encode(late), ('127.0.0.1', 1))
        self.leader.lost = 0
        self.assertEqual(await self.ask(), LimitTaken(wait_s=0.5))

    async def test_unknown_question_is_dropped(self):
        self.leader._handlers_by_type.clear()
        with self.assertRaises(LinkError):
            await self.ask(tries=1)

    async def test_unexpected_error_ends_one_question(self):
        """Pattern: a fault of ours, or values nested thousands deep; later questions go on."""
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        failing = [KeyError('unexpected')]

        def take(question):
            if failing:
                raise failing.pop()
            return LimitTaken(wait_s=0.5)

        self.leader.register(TakeLimit, take)
        host, _, port = self.leader.address.rpartition(':')
        self.entry._send(b'\x91' * 60_000, (host, int(port)))
        self.assertEqual(await self.ask(), LimitTaken(wait_s=0.5))
        self.assertEqual(failing, [])

    async def test_malformed_datagrams_are_dropped(self):
        """Pattern: one malformed message took a whole process down."""

        @settings(max_examples=2000, derandomize=True, suppress_health_check=list(HealthCheck))
        @given(st.binary(max_size=64))
        def drop(content):
            for datagram in (
                content,
                wire.encode(Question(number=1, content=content)),
                wire.encode(Answer(number=1, content=content)),
            ):
                self.leader.datagram_received(datagram, ('127.0.0.1', 1))

        drop()
        self.assertEqual(await self.ask(), LimitTaken(wait_s=0.5))


if __name__ == '__main__':
    unittest.main()
