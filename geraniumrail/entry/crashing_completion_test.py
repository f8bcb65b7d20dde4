"""Guards engines against completions that end one after the other."""

import asyncio
import unittest

from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.completion_run import CompletionRun
from geraniumrail.errors.backend import ConnectionLostError
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.quarantine.fingerprint import is_fingerprint
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.testing.streams import SERVICE, StreamSchedule

ENGINES = 8
MOST_ENGINES = 3  # that one completion may end
PREFIXES = ('first', 'first/deadly')


class CrashingCompletionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.day = StreamSchedule(1)
        self.ended = []
        self.day.engines.stream = self.end_engine

    async def end_engine(self, backend, call):
        self.ended.append(backend.instance)
        self.day.engines.engines_by_instance[backend.instance].state = 'dead'
        raise ConnectionLostError(backend=backend.instance, reason='reset')
        yield

    def call(self):
        return CompletionCall(
            request_id='r1',
            organisation='salon-a',
            service=SERVICE,
            model='bench',
            path='/v1/completions',
            route='chat',
            body={'prompt': 'p', 'max_tokens': 4},
            stream=True,
            prefixes=PREFIXES,
            prompt_tokens=3,
            answer_tokens=4,
        )

    async def complete(self):
        """Runs one completion to its end and returns its failure."""
        call = self.call()
        for _ in range(ENGINES * 2):
            self.day.completions.retries.record_request(SERVICE, 1, self.day.clock.now())
        self.day.announce()
        task = asyncio.create_task(self.read(CompletionRun(call, self.day.completions)))
        while not task.done():
            await self.day.clock.advance(0.1)
            self.day.completions.pump()
        return task.result()

    async def read(self, run):
        try:
            async for _ in run.chunks():
                pass
        except GeraniumrailError as error:
            return error

    async def test_completion_does_not_wait_for_the_end_of_an_evacuation(self):
        """It waited in the queue until its deadline, since engines were known."""
        view = self.day.completions.view
        view.evacuations.data_centres = frozenset({'cheras'})  # of all engines
        began = self.day.clock.now()
        failure = await self.complete()
        self.assertEqual((failure.type_name, self.ended), ('not_run', []))
        self.assertLess(self.day.clock.now() - began, 1)

    async def test_completion_does_not_end_one_engine_after_the_other(self):
        """A completion whose engine was lost was sent to the next one until its deadline."""
        failure = await self.complete()
        self.assertLessEqual(len(self.ended), MOST_ENGINES)
        self.assertEqual(failure.type_name, 'incomplete_answer')

    async def test_quarantined_completion_is_refused_unsent(self):
        """Pattern: the leader has found the prefix; new completions with it must not be sent."""
        held = Quarantine(service=SERVICE, parts=PREFIXES[1:], since=0, until=1e12)
        self.day.completions.watch.take((held,), None, ())
        failure = await self.complete()
        self.assertEqual((failure.type_name, self.ended), ('not_run', []))

    async def test_crash_is_noted_with_the_prefixes(self):
        """Pattern: the evidence for the leader comes from completions too; the fingerprint of the
        whole completion belongs to it."""
        await self.complete()
        await self.day.clock.advance(1)
        crashes, _ = self.day.completions.watch.report()
        self.assertEqual({note.requests for note in crashes}, {(self.call().traits,)})
        self.assertEqual(self.call().traits[:-1], PREFIXES)
        self.assertTrue(is_fingerprint(self.call().traits[-1]))


if __name__ == '__main__':
    unittest.main()
