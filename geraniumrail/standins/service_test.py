"""Guards the stand-in service: a run that it does not count would hide a duplicate booking."""

import asyncio
import functools
import tempfile
import unittest

import aiohttp

from geraniumrail.standins.testing import eventually, start_service


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *options):
        service = await start_service(options)
        self.addAsyncCleanup(service.serving.close)
        return service

    async def book(self, service, key='k'):
        url = f'http://{service.serving.address}/bookings'
        timeout = aiohttp.ClientTimeout(total=20)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, json={'chair': 1}, headers={'Idempotency-Key': key}) as got,
        ):
            return await got.json()

    async def test_same_key_runs_twice_unless_deduped(self):
        for options, runs in (((), 2), (('--dedupe',), 1)):
            service = await self.start(*options)
            answers = [await self.book(service), await self.book(service)]
            self.assertEqual(len(service.bookings.runs), runs)
            self.assertEqual(len({answer['id'] for answer in answers}), runs)

    async def test_booking_runs_on_after_the_caller_has_gone(self):
        service = await self.start('--work-ms', '200')
        caller = asyncio.create_task(self.book(service))
        await eventually(lambda: len(service.bookings.runs), 1)
        caller.cancel()
        run = service.bookings.runs[0]
        await eventually(functools.partial(getattr, run, 'state'), 'done')

    async def test_any_instance_with_the_ledger_knows_the_outcome(self):
        with tempfile.TemporaryDirectory() as folder:
            ledger = ('--ledger', f'{folder}/ledger.db')
            answer = await self.book(await self.start(*ledger), 'a key')
            other = await self.start(*ledger)
            url = f'http://{other.serving.address}/outcomes/a%20key'
            async with aiohttp.ClientSession() as session, session.get(url) as got:
                self.assertEqual(await got.json(), answer)

    async def test_refused_booking_is_not_in_the_journal(self):
        service = await self.start('--fault', '{"mode": "refuse"}')
        await self.book(service)
        self.assertFalse(service.bookings.runs)


if __name__ == '__main__':
    unittest.main()
