"""Export and import of KV cache at the stand-in engine."""

import asyncio
import dataclasses

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from geraniumrail.standins.batch import Batch
from geraniumrail.standins.kv_store import KvBlock, KvStore
from geraniumrail.standins.replies import error_reply, json_reply, read_json

_FETCH_TIMEOUT_S = 5


class KvRoutes:
    """Handlers of KV cache."""

    def __init__(self, batch: Batch, kv_store: KvStore, token_s: float) -> None:
        """Creates the handlers.

        :param batch: requests in progress.
        :param kv_store: exported and imported blocks.
        :param token_s: transfer time for each token, in seconds.
        """
        self._batch = batch
        self._kv_store = kv_store
        self._token_s = token_s

    def routes(self) -> tuple[web.RouteDef, ...]:
        """Returns the routes."""
        return (
            web.post('/v1/kv/export', self._export),
            web.post('/v1/kv/import', self._import),
            web.get('/v1/kv/blocks', self._block),
        )

    async def _export(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        request_id, attempt = body['request_id'], int(body['attempt'])
        block = self._kv_store.export(request_id, attempt, self._batch.find(request_id, attempt))
        if block is None:
            return error_reply(404, 'unknown_request', f'{request_id} is not known')
        return json_reply({'handle': block.handle, 'tokens': block.tokens})

    async def _block(self, request: web.Request) -> web.Response:
        block = self._kv_store.exported(request.query['handle'])
        if block is None:
            return error_reply(404, 'unknown_handle', 'the block is not known')
        return json_reply(dataclasses.asdict(block))

    async def _import(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            block = await _fetch(body['source'], body['handle'])
        except (ClientError, TimeoutError, msgspec.MsgspecError) as error:
            return error_reply(502, 'import_failed', repr(error))
        await asyncio.sleep(block.tokens * self._token_s)
        self._kv_store.add(block)
        return json_reply({'tokens': block.tokens})


async def _fetch(source: str, handle: str) -> KvBlock:
    timeout = ClientTimeout(total=_FETCH_TIMEOUT_S)
    url = f'http://{source}/v1/kv/blocks'
    async with (
        ClientSession(timeout=timeout) as session,
        session.get(url, params={'handle': handle}) as response,
    ):
        response.raise_for_status()
        return msgspec.json.decode(await response.read(), type=KvBlock)
