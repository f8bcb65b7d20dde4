"""Guards the number of trials of deadly requests that come for a long time."""

import asyncio
import logging
import unittest

from geraniumrail.control.deadly_requests_test import MOST_AFTER, RequestDay, fingerprint
from geraniumrail.control.quarantines import EARLY_S, MAX_QUARANTINES, UNUSED_S
from geraniumrail.control.quarantines_test import DEADLY
from geraniumrail.errors.request import NotRunError
from geraniumrail.quarantine.part_watch import LEAST_RETRY_S
from geraniumrail.quarantine.quarantine import MAX_FAILED_TRIALS, Quarantine
from geraniumrail.state.release_quarantine import ReleaseQuarantine
from geraniumrail.state.set_quarantines import SetQuarantines
from geraniumrail.testing.followers import engine
from geraniumrail.testing.virtual_loop import run_virtually

CALLS = 25  # at each entry, over more seconds than an entry's turn of trials lasts


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


def final(part, since):
    """Returns a quarantine all of whose trials have failed."""
    return Quarantine(
        service='llm', parts=(part,), since=since, until=since, failures=MAX_FAILED_TRIALS + 1
    )


async def crash_thrice(day, requests):
    """Three engines end while an entry has these requests at them, one each."""
    for each, traits in zip(day.engines, requests, strict=False):
        day.entries[0].watch.record_loss(engine(each.name, 1), traits)
        each.up = False
        await asyncio.sleep(1)


def is_held(day, traits):
    """Returns whether any entry refuses a request; it is sent nowhere."""
    return any(each.watch.quarantine_of('llm', traits) for each in day.entries)


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

    def test_quarantine_without_trials_lasts(self):
        """After its last trial a quarantine ended as unused, or a new leader granted a trial."""

        async def play():
            day = RequestDay(2, 1)
            deadly = (day.deadly[0],)
            await day.leader.propose(SetQuarantines(added=(final(deadly[0], day.now()),)))
            refusals = []
            for restart in range(2):
                day.leader.restart()
                for number in range(restart, len(day.entries), 2):
                    day.replace_entry(number)
                await asyncio.sleep(UNUSED_S + 60)
                for each in day.entries * CALLS:
                    await asyncio.sleep(1)
                    try:
                        each.watch.require_sound('llm', deadly, day.now())
                    except NotRunError as error:
                        refusals.append(error)
            held = is_held(day, deadly)
            await day.stop()
            return held, refusals

        held, refusals = run_virtually(play())
        self.assertTrue(held)
        self.assertEqual(len(refusals), 2 * 2 * CALLS)
        # A caller that came again after the least time would never be served.
        self.assertGreater(
            min(each.fields['retry_after_s'] for each in refusals), 10 * LEAST_RETRY_S
        )

    def test_quarantine_that_is_met_is_not_unused(self):
        """A request that was at a crash itself is no trial of its parts: the quarantine of these
        ended as unused while only this request came, and it crashed further engines."""

        async def play():
            day = RequestDay(2, 1)
            await asyncio.sleep(1)
            requests = [('first', DEADLY, fingerprint(name)) for name in 'abc']
            await crash_thrice(day, requests)
            is_found = is_held(day, requests[0])
            for _ in range(2):
                await asyncio.sleep(UNUSED_S / 2)
                await day.call(requests[0])
            # The new leader knows only what the entries repeat.
            day.leader.restart()
            await asyncio.sleep(UNUSED_S / 2)
            met = is_held(day, requests[0])
            await asyncio.sleep(EARLY_S + UNUSED_S + 60)
            left = is_held(day, requests[0])
            await day.stop()
            return is_found, met, left

        self.assertEqual(run_virtually(play()), (True, True, False))

    def test_released_quarantine_stays_ended(self):
        """A new leader, told again of the crashes, began the quarantine anew; a crash after the
        release is evidence again."""

        async def play():
            day = RequestDay(2, 1)
            await asyncio.sleep(1)
            deadly = (day.deadly[0],)
            await crash_thrice(day, [deadly] * 3)
            label = f'llm/{deadly[0]}'
            held = [is_held(day, deadly)]
            for _ in range(2):  # the answer to the first was lost
                await day.leader.propose(
                    ReleaseQuarantine(
                        release_id='r1', label=label, operator='operator', at=day.now()
                    )
                )
                day.leader.restart()
                await asyncio.sleep(3)
                held.append(is_held(day, deadly))
            await day.call(deadly)
            await asyncio.sleep(2)
            held.append(is_held(day, deadly))
            await day.stop()
            return held

        self.assertEqual(run_virtually(play()), [True, False, False, True])

    def test_oldest_without_trials_makes_room(self):
        """When all places were taken by quarantines that never end, nothing new was held back."""

        async def play():
            day = RequestDay(2, 1)
            await asyncio.sleep(MAX_QUARANTINES)
            kept = tuple(
                final(f'part-{number}', 1 + (number - 40) % MAX_QUARANTINES)
                for number in range(MAX_QUARANTINES)
            )
            await day.leader.propose(SetQuarantines(added=kept))
            await asyncio.sleep(1)
            await crash_thrice(day, [(day.deadly[0],)] * 3)
            held = day.held()
            await day.stop()
            return day.deadly[0], held

        deadly, held = run_virtually(play())
        self.assertEqual(len(held), MAX_QUARANTINES)
        self.assertIn((deadly,), held)
        self.assertNotIn(('part-40',), held)


if __name__ == '__main__':
    unittest.main()
