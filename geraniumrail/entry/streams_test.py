"""Guards the callers' streams against lost engines, crossed answers and malformed requests."""

import asyncio
import json
import unittest

import openai

from geraniumrail.standins.answer import expected_text
from geraniumrail.testing.case import DeploymentCase
from geraniumrail.testing.layout import BACKEND_KEY, OPERATOR_KEY, caller_key
from geraniumrail.testing.relay import Relay

TOKENS = 150
STREAMS = 28
VICTIMS = ('killed', 'frozen', 'silent', 'reclaimed')
STEADY = ('--token-ms', '15')
CHAT = '/v1/chat/completions'
ANNOUNCEMENT = {
    'instance': 'false',
    'service': 'model-bench',
    'data_centre': 'cheras',
    'region': 'klang-valley',
    'version': 'v1',
}


def chat_body(prompt, tokens, **changes):
    messages = [{'role': 'user', 'content': prompt}]
    return {'model': 'bench', 'messages': messages, 'max_tokens': tokens, **changes}


class StreamsTest(DeploymentCase):
    engines = (STEADY, STEADY, STEADY)

    def setUp(self):
        self.address = self.deployment.places[0].callers
        self.headers = {'Authorization': f'Bearer {caller_key("salon-a")}'}

    async def chats(self, label, count, tokens):
        prompts = [f'{label} {number}' for number in range(count)]
        texts = await asyncio.gather(
            *(self.caller(number).chat(prompt, tokens) for number, prompt in enumerate(prompts))
        )
        for prompt, text in zip(prompts, texts, strict=True):
            self.assertEqual(text, expected_text(f'user: {prompt}', tokens))

    async def works(self):
        journals = [await self.journal(f'engine-{number}') for number in range(len(self.engines))]
        return [work for journal in journals for work in journal['requests']]

    async def until_running(self, engine):
        async def running():
            journal = await self.journal(engine)
            return any(work['computed'] > 2 for work in journal['requests'])

        await self.deployment.until(running, f'a stream at {engine}')

    def test_texts_are_exact_when_engines_are_killed_frozen_silent_and_reclaimed(self):
        self.wait(self.lose_engines())

    async def lose_engines(self):
        relay = await Relay.start()
        for name in VICTIMS:
            via = ('--advertise', relay.address) if name == 'silent' else ()
            address = await self.deployment.start_engine(name, *STEADY, *via)
            if via:
                relay.target = address
        await self.deployment.until_served(len(VICTIMS) + len(self.engines))
        streams = asyncio.create_task(self.chats('wave', STREAMS, TOKENS))
        await asyncio.gather(*(self.until_running(name) for name in VICTIMS))
        await self.post('reclaimed', '/v1/leave', notice_s=0.2)
        relay.silence()
        self.deployment.processes_by_name['frozen'].freeze()
        await self.deployment.processes_by_name['killed'].kill()
        await streams
        for name in VICTIMS:
            self.assertTrue(self.logged('entry.stream_resumed', f'backend="{name}"'), name)
        self.assertTrue(all(work['resume_matches'] for work in await self.works()))
        for name in ('frozen', 'silent'):
            process = self.deployment.processes_by_name[name]
            process.thaw()
            await process.kill()
        await relay.close()

    def test_crossed_late_and_repeated_chunks_reach_nobody(self):
        async def disturb():
            faults = ('crossed', 'late', 'duplicate')
            for number, mode in enumerate(faults):
                await self.post(f'engine-{number}', '/v1/faults', mode=mode)
            await self.chats('crossed', 12, 40)
            for number in range(len(faults)):
                await self.post(f'engine-{number}', '/v1/faults', mode='none')

        self.wait(disturb())
        self.assertTrue(self.logged('backends.chunk_dropped', 'crossed'))

    def test_engine_stops_working_for_a_caller_that_left(self):
        async def leave():
            url = f'http://{self.address}{CHAT}'
            body = chat_body('the caller leaves', 5000, stream=True)
            async with self.session.post(url, json=body, headers=self.headers) as answer:
                request_id = answer.headers['X-Request-Id']
                await answer.content.readuntil(b'\n\n')
                answer.close()

            async def stopped():
                found = [one for one in await self.works() if one['request_id'] == request_id]
                return [one['state'] for one in found] in (['cancelled'], ['disconnected'])

            await self.deployment.until(stopped, 'the engine stopped')

        self.wait(leave())

    def test_slow_first_token_below_its_limit_is_one_attempt(self):
        async def ask():
            for number in range(len(self.engines)):
                fields = {'mode': 'slow', 'factor': 30, 'times': 20}  # 1.2 s of a limit of 5 s
                await self.post(f'engine-{number}', '/v1/faults', **fields)
            await self.chats('slow', 1, 2)
            for number in range(len(self.engines)):
                await self.post(f'engine-{number}', '/v1/faults', mode='none')
            return [work for work in await self.works() if work['prompt'] == 'user: slow 0']

        self.assertEqual([work['attempt'] for work in self.wait(ask())], [1])

    async def status(self, path, key, payload, **options):
        headers = {'Authorization': f'Bearer {key}', **options}
        url = f'http://{self.address}{path}'
        async with self.session.post(url, data=payload, headers=headers) as answer:
            return answer.status, json.loads(await answer.read())['error']['type']

    async def raw(self, payload):
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(payload)
        head, _, body = (await reader.read()).partition(b'\r\n\r\n')
        writer.close()
        return int(head.split()[1]), json.loads(body)['error']['type']

    def test_malformed_requests_get_typed_errors(self):
        key = caller_key('salon-a')
        whole = json.dumps(chat_body('q', 2))
        announce = json.dumps({**ANNOUNCEMENT, 'address': 'localhost:80'})
        sent = (
            ((400, 'invalid_request'), CHAT, key, '{"model": '),
            ((400, 'invalid_request'), CHAT, key, '[1]'),
            ((400, 'invalid_request'), CHAT, key, json.dumps({'model': 'bench', 'messages': 3})),
            ((413, 'body_too_large'), CHAT, key, b'x' * 1_100_000),
            ((404, 'unknown_model'), CHAT, key, json.dumps(chat_body('q', 2, model='other'))),
            ((401, 'unauthorized'), CHAT, 'unknown-key', whole),
            ((403, 'forbidden'), CHAT, BACKEND_KEY, whole),
            ((403, 'forbidden'), CHAT, OPERATOR_KEY, whole),
            ((403, 'forbidden'), '/v1/announce', key, announce),
            ((400, 'invalid_request'), '/v1/announce', BACKEND_KEY, announce),
            ((404, 'unknown_path'), '/nothing', key, whole),
        )
        for expected, path, bearer, payload in sent:
            with self.subTest(expected=expected, payload=payload[:40]):
                self.assertEqual(self.wait(self.status(path, bearer, payload)), expected)
        start = b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        raw = (
            ((431, 'headers_too_large'), start + b'X: ' + b'a' * 20000 + b'\r\n\r\n'),
            ((431, 'headers_too_large'), b'GET /' + b'a' * 9000 + b' HTTP/1.1\r\n\r\n'),
            ((400, 'invalid_request'), b'nonsense\r\n\r\n'),
            ((400, 'invalid_request'), start + b'Content-Length: many\r\n\r\n'),
        )
        for expected, payload in raw:
            with self.subTest(expected=expected, payload=payload[:60]):
                self.assertEqual(self.wait(self.raw(payload)), expected)
        self.wait(self.chats('after', 3, 4))
        self.assertFalse(self.logged('callers.unexpected'))

    def test_stock_openai_client_streams_and_completes(self):
        client = openai.OpenAI(
            base_url=f'http://{self.address}/v1', api_key=caller_key('salon-a'), max_retries=0
        )
        messages = [{'role': 'user', 'content': 'stock client'}]
        stream = client.chat.completions.create(
            model='bench', messages=messages, max_tokens=7, stream=True
        )
        text = ''.join(chunk.choices[0].delta.content or '' for chunk in stream)
        self.assertEqual(text, expected_text('user: stock client', 7))
        whole = client.completions.create(model='bench', prompt='stock client', max_tokens=7)
        self.assertEqual(whole.choices[0].text, expected_text('stock client', 7))
        with self.assertRaises(openai.AuthenticationError):
            client.with_options(api_key='unknown-key').models.list()


if __name__ == '__main__':
    unittest.main()
