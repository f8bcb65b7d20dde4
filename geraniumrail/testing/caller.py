"""A caller: asks for entries, connects to one, and repeats what may be repeated elsewhere."""

import asyncio
import dataclasses
import json
import random
from typing import Any

import aiohttp

from geraniumrail.testing.layout import caller_key

STEP_LIMIT_S = 60.0
RETRY_DELAY_S = 0.1
ASK_AGAIN = frozenset(('not_run', 'overloaded', 'entry_unavailable'))


@dataclasses.dataclass(frozen=True)
class Reply:
    """What the caller got; `status` is 0 without an answer."""

    status: int
    body: bytes = b''
    entry: str = ''

    def error_type(self) -> str:
        """Returns the type of the failure, or an empty text."""
        try:
            return json.loads(self.body)['error']['type']
        except (ValueError, LookupError, TypeError):
            return ''


class Caller:
    """Belongs to one organisation."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        organisation: str = 'salon-a',
        seed: int = 1,
    ) -> None:
        """Starts with the entries that the deployment has.

        :param session: HTTP client.
        :param entries: addresses of the entries, to ask for the list.
        :param organisation: owner of the API key.
        :param seed: seed of the choice of entry.
        """
        self._session = session
        self._known = entries
        self._headers = {'Authorization': f'Bearer {caller_key(organisation)}'}
        self._rng = random.Random(seed)

    async def entries(self) -> list[str]:
        """Asks any entry for the list of entries."""
        for address in self._rng.sample(self._known, len(self._known)):
            reply = await self._send('GET', address, '/v1/entries', None, {}, limit_s=2)
            if reply.status == 200:
                listed = json.loads(reply.body)['entries']
                if listed:
                    return listed
        return list(self._known)

    async def chat(
        self,
        prompt: str,
        tokens: int,
        entry: str | None = None,
        route: str = 'chat',
    ) -> str | None:
        """Returns the text of a streamed reply, or None if the stream was not completed.

        :param prompt: content of the one message.
        :param tokens: length of the answer.
        :param entry: address; default: one of the list.
        :param route: route of the request.
        """
        body = {
            'model': 'bench',
            'route': route,  # the stand-in engines journal it and may fail on one route only
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        address = entry or self._rng.choice(await self.entries())
        url = f'http://{address}/v1/chat/completions'
        headers = {**self._headers, 'X-Route': route}
        texts: list[str] = []
        try:
            async with self._session.post(url, json=body, headers=headers) as answer:
                async for line in answer.content:
                    if line.startswith(b'data: [DONE]'):
                        return ''.join(texts)
                    if line.startswith(b'data: '):
                        texts.append(_delta(line))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return None

    async def chat_until_done(
        self,
        prompt: str,
        tokens: int,
        route: str = 'chat',
    ) -> str | None:
        """Asks again at another entry while the stream is not completed.

        :param prompt: content of the one message.
        :param tokens: length of the answer.
        :param route: route of the request.
        """
        for _ in range(60):
            text = await self.chat(prompt, tokens, route=route)
            if text is not None:
                return text
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    async def book(self, key: str, body: dict[str, Any], entry: str | None = None) -> Reply:
        """Sends a booking once.

        :param key: idempotency key.
        :param body: JSON body.
        :param entry: address; default: one of the list.
        """
        address = entry or self._rng.choice(await self.entries())
        headers = {'Idempotency-Key': key, 'Content-Type': 'application/json'}
        path = '/s/repair-desk/bookings'
        return await self._send('POST', address, path, json.dumps(body).encode(), headers)

    async def book_until_answered(self, key: str, body: dict[str, Any]) -> Reply:
        """Repeats a booking with its key at other entries until it is answered.

        :param key: idempotency key.
        :param body: JSON body.
        """
        reply = Reply(0)
        for _ in range(60):
            reply = await self.book(key, body)
            if reply.status and reply.error_type() not in ASK_AGAIN:
                return reply
            await asyncio.sleep(RETRY_DELAY_S)
        return reply

    async def get(self, path: str, entry: str | None = None) -> Reply:
        """Reads from a plain service.

        :param path: path from the root, such as `/s/repair-desk/stock/pump`.
        :param entry: address; default: one of the list.
        """
        address = entry or self._rng.choice(await self.entries())
        return await self._send('GET', address, path, None, {})

    async def _send(
        self,
        method: str,
        address: str,
        path: str,
        payload: bytes | None,
        headers: dict[str, str],
        limit_s: float = STEP_LIMIT_S,
    ) -> Reply:
        try:
            async with self._session.request(
                method,
                f'http://{address}{path}',
                data=payload,
                headers={**self._headers, **headers},
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as answer:
                return Reply(answer.status, await answer.read(), address)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Reply(0, entry=address)


def _delta(line: bytes) -> str:
    event = json.loads(line.removeprefix(b'data: '))
    choices = event.get('choices') or [{}]
    return choices[0].get('delta', {}).get('content', '')
