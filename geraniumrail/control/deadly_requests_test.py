"""Guards backend servers against single requests that crash them, at several numbers of entries.

Pattern: a few requests end every backend server that begins to run them, and come again with the
same caller, target and body at any entry. Their prompt parts, if they have any, are sound.
"""

import asyncio
import collections
import contextlib
import logging
import unittest

from geraniumrail.control.quarantines import EARLY_S
from geraniumrail.control.quarantines_test import DEADLY, SIZES, Day
from geraniumrail.errors.request import NotRunError
from geraniumrail.forwarding.run import MAX_LOST
from geraniumrail.quarantine.fingerprint import fingerprint_of, is_fingerprint
from geraniumrail.quarantine.part_watch import PROOF_S, TRIAL_TURN_S
from geraniumrail.testing.followers import engine
from geraniumrail.testing.virtual_loop import run_virtually

SEEDS = range(3)
CONTACT_S = 3.0
CRASHES_TOLD = 3  # crashes after which the request must be known
MOST_AFTER = 3  # times that it may reach backend servers after that
POLLS = 6  # requests that many callers send alike
COME_AGAIN_S = (0.2, 2.0)
DURATION_S = 25.0


def fingerprint(name):
    return fingerprint_of('salon-a', 'POST', '/run', name.encode())


class RequestDay(Day):
    """Traffic of sound requests and of a few deadly ones; callers send again what was lost."""

    def __init__(self, entries, seed, *, deadly=1, with_parts=True, attempts=MAX_LOST, **options):
        super().__init__(entries, seed, **options)
        self.deadly = [fingerprint(f'deadly-{number}') for number in range(deadly)]
        self.with_parts = with_parts
        self.attempts = attempts
        self.crashes_by_request = collections.defaultdict(list)
        self.sent_by_request = collections.defaultdict(list)
        self.made = 0
        self.copies = 1  # of a deadly request, sent at once

    async def request(self, is_deadly):
        if is_deadly:
            name = self.rng.choice(self.deadly)
            traits = (*self.parts('document-3'), name)
            await asyncio.gather(*(self.call(traits) for _ in range(self.copies)))
            return
        document = f'document-{int(self.rng.paretovariate(1)) % 40}'
        self.made += 1
        poll = self.rng.randrange(POLLS)
        is_poll = self.rng.random() < 0.3
        own = fingerprint(f'poll-{poll}' if is_poll else f'own-{self.made}')
        traits = (*self.parts(document), own)
        for number in range(3):
            if await self.call(traits, is_first=number == 0):
                return
            await asyncio.sleep(self.rng.uniform(*COME_AGAIN_S))

    def parts(self, document):
        return ('first', document) if self.with_parts else ()

    async def call(self, traits, *, is_first=True):
        """Sends a request to one backend server after the other, and tells whether it ran."""
        entry = self.rng.choice(self.entries)
        is_deadly = self.is_deadly(traits)
        try:
            entry.watch.require_sound('llm', traits, self.now())
        except NotRunError:
            if is_first and not is_deadly:
                self.sound.append((self.now(), False))
            return False
        if is_first and not is_deadly:
            self.sound.append((self.now(), True))
        for attempt in range(self.attempts):
            if attempt and entry.watch.quarantine_of('llm', traits) is not None:
                return False
            if await self.run(entry, traits, is_deadly):
                return True
        return False

    def is_deadly(self, traits):
        return traits[-1] in self.deadly or DEADLY in traits

    async def run(self, entry, traits, is_deadly):
        chosen = self.rng.choice([each for each in self.engines if each.up] or self.engines)
        backend = engine(chosen.name, chosen.incarnation)
        sent_at = self.now()
        if is_deadly:
            self.sent_by_request[traits[-1]].append(sent_at)
        if await self.waited(chosen.lost, 0.2 * self.rng.uniform(0.2, 2)):
            entry.watch.record_loss(backend, traits)
            return False
        if is_deadly:
            self.crashes_by_request[traits[-1]].append(self.now())
            self.crash(chosen)
            entry.watch.record_loss(backend, traits)
            return False
        began_at = self.now() if self.with_parts else sent_at
        if await self.waited(chosen.lost, PROOF_S):
            entry.watch.record_loss(backend, traits)
            return False
        entry.watch.record_answer('llm', traits, began_at)
        return True

    def most_sent_too_late(self):
        """Returns how often a deadly request reached backend servers when it had to be known."""
        return max(
            (
                sum(
                    at > crashed_at[CRASHES_TOLD - 1] + CONTACT_S
                    for at in self.sent_by_request[name]
                )
                for name, crashed_at in self.crashes_by_request.items()
                if len(crashed_at) >= CRASHES_TOLD
            ),
            default=0,
        )

    def held(self):
        return [each.parts for each in self.leader.machine.tables.quarantines_by_label.values()]


class PartAndRequestDay(RequestDay):
    """Half of the deadly requests are so by a part; no two of these are alike."""

    async def request(self, is_deadly):
        if is_deadly and self.rng.random() < 0.5:
            self.made += 1
            await self.call(('first', 'document-1', DEADLY, fingerprint(f'own-{self.made}')))
            return
        await super().request(is_deadly)

    def parts_sent_after(self, crashes):
        """Returns how often requests with the part reached engines when it had to be known."""
        by_part = [name for name in self.crashes_by_request if name not in self.deadly]
        crashed_at = sorted(at for name in by_part for at in self.crashes_by_request[name])
        if len(crashed_at) < crashes:
            return 0
        due = crashed_at[crashes - 1] + CONTACT_S
        return sum(at > due for name in by_part for at in self.sent_by_request[name])


def played(entries, seed, work=None, kind=RequestDay, copies=1, **options):
    async def play():
        day = kind(entries, seed, **options)
        day.copies = copies
        await asyncio.sleep(1)
        beside = asyncio.create_task(work(day)) if work else None
        await day.play(DURATION_S)
        if beside is not None:
            await beside
        await day.stop()
        return day

    return run_virtually(play())


class DeadlyRequestTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, entries, seed, work=None, least_sound=0.97, **options):
        day = played(entries, seed, work, **options)
        self.assertTrue(day.crashes_by_request)
        self.assertLessEqual(day.most_sent_too_late(), MOST_AFTER)
        self.assertGreater(day.sound_share(since=0), least_sound)
        return day

    def test_request_whose_parts_are_sound_is_held_back(self):
        """A request with sound parts went on crashing engines: answers to other requests with
        these parts ended its quarantine each time."""
        for entries in SIZES:
            for seed in SEEDS:
                with self.subTest(entries=entries, seed=seed):
                    self.check(entries, seed, deadly_share=0.03)

    def test_request_without_parts_is_held_back(self):
        """Crashes by requests to plain services were not remembered at all."""
        for entries in SIZES:
            for seed in SEEDS:
                for attempts in (1, MAX_LOST):
                    with self.subTest(entries=entries, seed=seed, attempts=attempts):
                        self.check(
                            entries, seed, deadly_share=0.03, with_parts=False, attempts=attempts
                        )

    def test_several_requests_are_held_back(self):
        """Pattern: the crashes of one request must not explain those of another. What they have in
        common is under suspicion until one sound request has been tried."""
        for entries in SIZES:
            for deadly in (3, 6):
                with self.subTest(entries=entries, deadly=deadly):
                    self.check(entries, 4, least_sound=0.9, deadly_share=0.06, deadly=deadly)

    def test_few_among_many_are_held_back(self):
        """Pattern: a thousand requests a second, each crash has many of them beside it."""
        self.check(77, 5, deadly_share=0.002, deadly=2, rate_per_s=1000)

    def test_copies_that_come_together_are_held_back(self):
        """Pattern: several copies crash several engines in one moment, again and again."""
        for entries in SIZES:
            for copies in (2, 4):
                with self.subTest(entries=entries, copies=copies):
                    self.check(entries, 6, deadly_share=0.01, copies=copies)

    def test_quarantine_outlives_leaders_and_entries(self):
        """A new leader and restarted entries know nothing of the crashes before."""

        async def restart(day):
            for second in range(4):
                await asyncio.sleep(2)
                day.leader.restart()
                await asyncio.sleep(1)
                for number in range(second % 2, len(day.entries), 2):
                    day.replace_entry(number)
                    await asyncio.sleep(1 / len(day.entries))

        for entries in SIZES:
            for with_parts in (True, False):
                with self.subTest(entries=entries, with_parts=with_parts):
                    self.check(entries, 7, restart, deadly_share=0.03, with_parts=with_parts)

    def test_deadly_part_and_deadly_request_are_both_held_back(self):
        """Pattern: crashes by a part must not hide those by a request, nor the other way round."""
        for entries in SIZES:
            for seed in SEEDS:
                with self.subTest(entries=entries, seed=seed):
                    day = self.check(entries, seed, kind=PartAndRequestDay, deadly_share=0.06)
                    self.assertLessEqual(day.parts_sent_after(5), MOST_AFTER)

    def test_loss_of_a_data_centre_holds_nothing_back(self):
        """Pattern: popular requests were in progress at all of its engines, more than once."""

        async def lose(day):
            for _ in range(3):
                await asyncio.sleep(5)
                for each in day.engines[: len(day.engines) // 3]:
                    if each.up:
                        day.crash(each)

        for entries in SIZES:
            for with_parts in (True, False):
                with self.subTest(entries=entries, with_parts=with_parts):
                    day = played(entries, 8, lose, deadly_share=0, with_parts=with_parts)
                    self.assertGreater(day.sound_share(since=0), 0.995)

    def test_sound_request_that_stood_beside_comes_back_soon(self):
        """A sound request was lost with a deadly one at each of its crashes: nothing tells them
        apart, so each is tried early."""

        async def play():
            day = RequestDay(4, 9)
            await asyncio.sleep(1)
            beside = fingerprint('beside')
            for number in range(3):
                backend = engine(day.engines[number].name, 1)
                day.engines[number].up = False
                for each, name in zip(day.entries, (beside, day.deadly[0]), strict=False):
                    each.watch.record_loss(backend, ('first', name))
                await asyncio.sleep(1)
            held = day.held()
            until = day.now() + 12 * EARLY_S
            while day.now() < until:
                await asyncio.sleep(1)
                await day.call(('first', beside))
                await day.call(('first', day.deadly[0]))
            left = day.held()
            tries = len(day.sent_by_request[day.deadly[0]])
            back_at = next(at for at, was_sent in day.sound if was_sent)
            began = min(at for at, _ in day.sound)
            await day.stop()
            return held, left, tries, back_at - began

        held, left, tries, waited_s = run_virtually(play())
        self.assertEqual(len([each for each in held if any(map(is_fingerprint, each))]), 2)
        self.assertEqual([each[-1] for each in left], [fingerprint('deadly-0')])
        self.assertEqual(tries, 1)
        self.assertLess(waited_s, 9 * EARLY_S)

    def test_trial_without_outcome_is_repeated(self):
        """A sound request was held back for half an hour: full backend servers had refused the
        only trial of each entry."""

        async def play(entries):
            day = RequestDay(entries, 9)
            await asyncio.sleep(1)
            beside = ('first', fingerprint('beside'))
            for number in range(3):
                backend = engine(day.engines[number].name, 1)
                day.engines[number].up = False
                day.entries[0].watch.record_loss(backend, beside)
                await asyncio.sleep(1)
            self.assertEqual([each[-1] for each in day.held()], [beside[-1]])
            full_until = day.now() + EARLY_S + entries * TRIAL_TURN_S
            ran = False
            while not ran and day.now() < full_until + 2 * TRIAL_TURN_S:
                await asyncio.sleep(1)
                entry = day.rng.choice(day.entries)
                with contextlib.suppress(NotRunError):
                    entry.watch.require_sound('llm', beside, day.now())
                    ran = day.now() >= full_until and await day.run(entry, beside, False)
            await day.stop()
            return ran

        for entries in (1, 2):
            with self.subTest(entries=entries):
                self.assertTrue(run_virtually(play(entries)))

    def test_failed_trial_is_the_only_one(self):
        """The update that told an entry of the failed trial still granted it one, and it crashed a
        second engine at once."""

        async def play(entries):
            day = RequestDay(entries, 9)
            await asyncio.sleep(1)
            deadly = day.deadly[0]
            for each in day.engines[:3]:
                day.entries[0].watch.record_loss(engine(each.name, 1), (deadly,))
                each.up = False
                await asyncio.sleep(1)
            self.assertEqual(day.held(), [(deadly,)])
            end = day.now() + EARLY_S + TRIAL_TURN_S / 2
            while day.now() < end:
                await asyncio.sleep(0.01)
                task = asyncio.create_task(day.call((deadly,)))
                day.tasks.add(task)
                task.add_done_callback(day.tasks.discard)
            await day.stop()
            return len(day.sent_by_request[deadly])

        for entries in SIZES:
            with self.subTest(entries=entries):
                self.assertEqual(run_virtually(play(entries)), 1)


if __name__ == '__main__':
    unittest.main()
