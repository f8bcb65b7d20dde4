"""Guards the stand-in engine: wrong text or counts here would make every other test lie."""

import asyncio
import functools
import unittest

import aiohttp
from aiohttp import web

from geraniumrail.standins.answer import expected_text, prompt_of
from geraniumrail.standins.process import Serving
from geraniumrail.standins.slots import Slots
from geraniumrail.standins.testing import eventually, start_engine

LIMIT_S = 20


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=LIMIT_S))
        self.addAsyncCleanup(self.session.close)

    async def start(self, *options, instance='e1'):
        engine = await start_engine(options, instance)
        self.addAsyncCleanup(engine.serving.close)
        return engine

    async def post(self, engine, path, **body):
        async with self.session.post(f'http://{engine.serving.address}{path}', json=body) as got:
            return got.status, await got.json()

    async def test_resumed_answer_continues_the_same_text(self):
        engine = await self.start()
        body = {'messages': [{'role': 'user', 'content': 'leaking pump'}], 'max_tokens': 6}
        whole = expected_text(prompt_of(body), 6)
        first = expected_text(prompt_of(body), 2)
        resume = {'offset': 2, 'text': first}
        _, answer = await self.post(engine, '/v1/chat/completions', **body, resume=resume)
        content = answer['choices'][0]['message']['content']
        self.assertEqual(first + content, whole)

    async def test_imported_kv_saves_the_recomputation(self):
        source = await self.start()
        target = await self.start(instance='e2')
        body = {'prompt': 'p', 'request_id': 'r', 'max_tokens': 5}
        await self.post(source, '/v1/completions', **body, attempt=1)
        ids = {'request_id': 'r', 'attempt': 1}
        _, exported = await self.post(source, '/v1/kv/export', **ids)
        handle = {'handle': exported['handle'], 'source': source.serving.address}
        await self.post(target, '/v1/kv/import', **handle)
        resume = {'offset': 4, 'text': expected_text('p', 4)}
        for engine in (target, await self.start(instance='e3')):
            await self.post(engine, '/v1/completions', **body, attempt=2, resume=resume)
            address = f'http://{engine.serving.address}/v1/journal'
            async with self.session.get(address) as got:
                work = (await got.json())['requests'][0]
            self.assertTrue(work['resume_matches'])
            self.assertEqual(work['recomputed'], 0 if engine is target else 4)

    async def test_fencing_refuses_only_where_it_is_enforced(self):
        for fencing, status, version in (('enforced', 409, 'new'), ('ignored', 200, 'old')):
            engine = await self.start('--fencing', fencing)
            order = {'kind': 'load_version', 'number': 1}
            await self.post(engine, '/v1/orders', **order, term=2, name='new')
            answer = await self.post(engine, '/v1/orders', **order, term=1, name='old')
            self.assertEqual(answer[0], status)
            await eventually(functools.partial(getattr, engine.orders, 'version'), version)

    async def test_leaving_is_announced_before_the_engine_stops(self):
        announced = asyncio.Queue()

        async def take(request):
            self.assertEqual(request.headers['Authorization'], 'Bearer K')
            announced.put_nowait(await request.json())
            return web.json_response({'renew_in_s': 60})

        application = web.Application()
        application.router.add_post('/v1/announce', take)
        entry = await Serving.bind(application, '127.0.0.1:0')
        self.addAsyncCleanup(entry.close)
        entries = ('http://127.0.0.1:1', f'http://{entry.address}')
        engine = await self.start('--key', 'K', '--idle-exit-s', '0', '--announce', *entries)
        async with asyncio.timeout(LIMIT_S):
            first = await announced.get()
            self.assertEqual(first['state'], 'serving')
            self.assertEqual(first['address'], engine.serving.address)
            engine.leave(5)
            self.assertEqual((await announced.get())['state'], 'leaving')
            await engine.departure.stopped.wait()


class SlotsTest(unittest.IsolatedAsyncioTestCase):
    async def test_lowest_priority_number_runs_first_and_cancelled_places_return(self):
        slots = Slots(1)
        order = []

        async def work(priority):
            async with slots.hold(priority):
                order.append(priority)

        async with slots.hold(0):
            tasks = [asyncio.create_task(work(priority)) for priority in (3, 1, 2)]
            await asyncio.sleep(0)
            tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(order, [1, 3])
        self.assertEqual(slots.running, 0)


if __name__ == '__main__':
    unittest.main()
