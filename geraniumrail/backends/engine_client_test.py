"""Guards streams from engines: whole, in order, of this attempt, and never silently cut short."""

import contextlib
import unittest

import msgspec
from aiohttp import web

from geraniumrail.backends.connections import Connections, ConnectionsConfig
from geraniumrail.backends.engine_call import EngineCall
from geraniumrail.backends.engine_client import EngineClient
from geraniumrail.backends.engine_order import EngineOrder
from geraniumrail.core.backend import Backend
from geraniumrail.errors.backend import (
    BackendError,
    ConnectionLostError,
    InvalidStreamError,
    NotSentError,
    RefusedError,
    StaleOrderError,
    StalledError,
)
from geraniumrail.standins.answer import expected_text, prompt_of
from geraniumrail.standins.process import Serving
from geraniumrail.standins.testing import eventually, start_engine

BODY = {'messages': [{'role': 'user', 'content': 'the pump leaks'}], 'max_tokens': 8}
TEXT = expected_text(prompt_of(BODY), 8)


def call(**changes):
    fields = {'path': '/v1/chat/completions', 'body': BODY, 'request_id': 'r', 'attempt': 2}
    limits = {'first_token_timeout_s': 20, 'between_tokens_timeout_s': 20}
    return EngineCall(**{**fields, **limits, **changes})


class EngineClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        connections = Connections.from_config(ConnectionsConfig())
        self.addAsyncCleanup(connections.close)
        self.client = EngineClient(connections)

    async def start(self, *options, instance='e1', **fault):
        engine = await start_engine(options, instance)
        self.addAsyncCleanup(engine.serving.close)
        if fault:
            engine.faults.switch(fault)
        return engine

    async def raw(self, *events):
        """Starts a server that answers with the given events."""

        async def answer(request):
            lines = [b'data: %b\n\n' % msgspec.json.encode(event) for event in events]
            return web.Response(body=b''.join(lines) + b'data: [DONE]\n\n')

        application = web.Application()
        application.router.add_post('/v1/chat/completions', answer)
        serving = await Serving.bind(application, '127.0.0.1:0')
        self.addAsyncCleanup(serving.close)
        place = {'data_centre': 'cheras', 'region': 'klang-valley', 'version': 'v1'}
        return Backend(instance='raw', service='s', address=serving.address, **place)

    async def read(self, backend, request=None):
        stream = self.client.stream(backend, request or call())
        return [chunk async for chunk in stream]

    async def text(self, engine, request=None):
        chunks = await self.read(engine.describe(), request)
        return ''.join(chunk.text for chunk in chunks)

    async def test_stream_is_whole_and_its_connection_is_reused(self):
        engine = await self.start()
        for _ in range(2):
            chunks = await self.read(engine.describe())
            self.assertEqual(''.join(chunk.text for chunk in chunks), TEXT)
            self.assertEqual(chunks[0].role, 'assistant')
            self.assertEqual(chunks[-1].finish_reason, 'length')
            self.assertNotIn('geraniumrail', chunks[0].event)
        self.assertEqual(len(engine.serving.connections()), 1)

    async def test_resume_continues_at_the_offset(self):
        engine = await self.start()
        first = expected_text(prompt_of(BODY), 3)
        text = await self.text(engine, call(resume_offset=3, resume_text=first))
        self.assertEqual(first + text, TEXT)

    async def test_crossed_chunks_are_dropped_and_counted(self):
        for how in ('request', 'attempt'):
            engine = await self.start(mode='crossed', how=how)
            self.assertEqual(await self.text(engine), TEXT)
        self.assertEqual(self.client.dropped.crossed, 16)

    async def test_whole_answer_to_another_request_is_not_an_answer(self):
        engine = await self.start()
        other = await self.read(engine.describe(), call(request_id='other'))
        ids = {'request_id': 'other', 'attempt': 2}
        events = [
            {**chunk.event, 'geraniumrail': {**ids, 'offset': chunk.offset}} for chunk in other
        ]
        with self.assertRaises(InvalidStreamError):
            await self.read(await self.raw(*events))

    async def test_duplicate_and_late_chunks_are_dropped(self):
        for mode in ('duplicate', 'late'):
            engine = await self.start(mode=mode)
            self.assertEqual(await self.text(engine), TEXT)
        self.assertEqual(self.client.dropped.repeated, 16)

    async def test_overlapping_chunk_is_trimmed_to_its_new_tokens(self):
        ids = {'request_id': 'r', 'attempt': 2}
        shapes = ((0, 1, 'a '), (0, 2, 'a b '), (2, 1, 'c '))
        events = [
            {
                'choices': [{'delta': {'content': text}, 'finish_reason': None}],
                'geraniumrail': {**ids, 'offset': offset, 'tokens': tokens},
            }
            for offset, tokens, text in shapes
        ]
        events[-1]['choices'][0]['finish_reason'] = 'stop'
        chunks = await self.read(await self.raw(*events))
        self.assertEqual([chunk.text for chunk in chunks], ['a ', 'b ', 'c '])
        self.assertEqual(chunks[1].event['choices'][0]['delta']['content'], 'b ')
        events[1]['choices'][0]['delta']['content'] = 'x b '
        with self.assertRaises(InvalidStreamError):
            await self.read(await self.raw(*events))

    async def test_gap_ends_the_stream(self):
        engine = await self.start(mode='gap', after_tokens=2)
        with self.assertRaisesRegex(ConnectionLostError, 'expected token 2, got token 3'):
            await self.text(engine)

    async def test_error_event_ends_the_stream(self):
        with self.assertRaisesRegex(InvalidStreamError, 'out of memory'):
            await self.read(await self.raw({'error': {'message': 'out of memory'}}))

    async def test_death_in_mid_stream_follows_the_tokens_sent(self):
        for how in ('end', 'reset'):
            engine = await self.start(mode='die', after_tokens=3, how=how)
            received = []
            with self.assertRaises(ConnectionLostError):
                async for chunk in self.client.stream(engine.describe(), call()):
                    received.append(chunk.text)
            self.assertTrue(TEXT.startswith(''.join(received)))
            self.assertLess(len(received), 8)

    async def test_silent_connection_is_left_for_a_new_one(self):
        engine = await self.start()
        self.assertEqual(await self.text(engine), TEXT)
        engine.faults.silence(engine.serving.connections())
        with self.assertRaises(StalledError) as stalled:
            await self.text(engine, call(request_id='r2', first_token_timeout_s=0.3))
        self.assertEqual(stalled.exception.fields['phase'], 'first_token')
        self.assertEqual(await self.text(engine, call(fresh=True)), TEXT)

    async def test_silence_between_tokens_is_noticed(self):
        engine = await self.start()
        received = []
        with self.assertRaises(StalledError) as stalled:
            request = call(between_tokens_timeout_s=0.2, body={**BODY, 'max_tokens': 10000})
            async for chunk in self.client.stream(engine.describe(), request):
                received.append(chunk)
                engine.faults.silence(engine.serving.connections())
        self.assertEqual(stalled.exception.fields['phase'], 'between_tokens')

    async def test_abandoned_stream_is_stopped_and_its_connection_is_not_reused(self):
        engine = await self.start('--token-ms', '20')
        async with contextlib.aclosing(self.client.stream(engine.describe(), call())) as stream:
            await anext(stream)
        await eventually(lambda: engine.serving.connections(), set())
        self.assertEqual(await self.text(engine, call(attempt=3)), TEXT)

    async def test_cancel_stops_the_engine(self):
        engine = await self.start('--token-ms', '20')
        chunks = []
        async for chunk in self.client.stream(engine.describe(), call()):
            chunks.append(chunk)
            if len(chunks) == 1:
                self.assertTrue(await self.client.cancel(engine.describe(), 'r', 2))
        self.assertEqual(chunks[-1].finish_reason, 'cancelled')

    async def test_refused_connection_and_refused_request_did_not_run(self):
        engine = await self.start(mode='refuse')
        with self.assertRaises(RefusedError):
            await self.text(engine)
        engine.faults.switch({'mode': 'none'})
        engine.faults.switch({'mode': 'fail'})
        with self.assertRaises(BackendError) as failed:
            await self.text(engine)
        self.assertNotIsInstance(failed.exception, RefusedError)
        await engine.serving.close()
        with self.assertRaises(NotSentError):
            await self.text(engine)

    async def test_old_order_is_refused_with_its_type(self):
        engine = await self.start()
        backend = engine.describe()
        newer = EngineOrder(term=3, number=1, kind='set_role', name='prefill')
        self.assertEqual(await self.client.order(backend, newer), 'accepted')
        self.assertEqual(await self.client.order(backend, newer), 'repeated')
        older = EngineOrder(term=2, number=9, kind='set_role', name='decode')
        with self.assertRaises(StaleOrderError):
            await self.client.order(backend, older)

    async def test_kv_moves_between_engines(self):
        source = await self.start()
        target = await self.start(instance='e2')
        await self.text(source)
        export = await self.client.export_kv(source.describe(), 'r', 2)
        covered = await self.client.import_kv(target.describe(), source.describe(), export)
        self.assertEqual(covered, 8)
        with self.assertRaises(BackendError):
            await self.client.export_kv(source.describe(), 'unknown', 1)


if __name__ == '__main__':
    unittest.main()
