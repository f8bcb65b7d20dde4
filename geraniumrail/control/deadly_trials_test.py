"""Guards the number of trials of deadly requests that come for a long time."""

import asyncio
import logging
import unittest

from geraniumrail.control.deadly_requests_test import MOST_AFTER, RequestDay
from geraniumrail.errors.request import NotRunError
from geraniumrail.testing.followers import engine
from geraniumrail.testing.virtual_loop import run_virtually


class TwoServicesDay(RequestDay):
    """The route of the requests divides them between two services."""

    async def call(self, traits, *, is_first=True):
        service = self.rng.choice(('llm', 'other'))
        entry = self.rng.choice(self.entries)
        try:
            entry.watch.require_sound(service, traits, self.now())
        except NotRunError:
            return False
        half = len(self.engines) // 2
        engines = self.engines[:half] if service == 'llm' else self.engines[half:]
        chosen = self.rng.choice([each for each in engines if each.up] or engines)
        backend = engine(chosen.name, chosen.incarnation, service=service)
        sent_at = self.now()
        if self.is_deadly(traits):
            self.sent_by_request[traits[-1]].append(sent_at)
        if await self.waited(chosen.lost, 0.2):
            entry.watch.record_loss(backend, traits)
            return False
        if self.is_deadly(traits):
            self.crashes_by_request[traits[-1]].append(self.now())
            self.crash(chosen)
            entry.watch.record_loss(backend, traits)
            return False
        entry.watch.record_answer(service, traits, sent_at)
        return True


async def played(day, duration_s):
    await asyncio.sleep(1)
    await day.play(duration_s)
    await day.stop()
    return day.most_sent_too_late()


class DeadlyTrialsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_trials_of_a_long_day_are_few(self):
        """A request that comes for an hour crashed a fourth backend server as a trial."""

        async def play():
            day = RequestDay(4, 1, deadly_share=0.2, with_parts=False, rate_per_s=1)
            return await played(day, 3600)

        self.assertLessEqual(run_virtually(play()), MOST_AFTER)

    def test_request_of_two_services_is_held_back(self):
        """The crashes of a request were counted by service, and each service had its own trials."""

        async def play():
            day = TwoServicesDay(4, 1, deadly_share=0.2, with_parts=False, rate_per_s=4)
            return await played(day, 400)

        self.assertLessEqual(run_virtually(play()), MOST_AFTER)


if __name__ == '__main__':
    unittest.main()
