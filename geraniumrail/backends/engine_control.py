"""Cancellation, KV transfer and orders at engines."""

import dataclasses
from typing import Any

import msgspec

from geraniumrail.backends.attempt import attempt, read_limited
from geraniumrail.backends.connections import Connections
from geraniumrail.backends.engine_order import EngineOrder
from geraniumrail.backends.exchange import Exchange
from geraniumrail.backends.kv_export import KvExport
from geraniumrail.core.backend import Backend
from geraniumrail.core.malformed import MALFORMED
from geraniumrail.errors.backend import BackendError, InvalidStreamError, StaleOrderError

_HEADERS = (('Content-Type', 'application/json'),)
_RESPONSE_LIMIT_BYTES = 1024 * 1024
_CONFLICT = 409


class EngineControl:
    """Short calls to engines."""

    def __init__(self, connections: Connections) -> None:
        """Creates the client.

        :param connections: owned by the caller.
        """
        self._connections = connections

    async def cancel(
        self, backend: Backend, request_id: str, number: int, limit_s: float = 2
    ) -> bool:
        """Stops an attempt; returns whether it was in progress.

        :param backend: the engine.
        :param request_id: the request.
        :param number: the attempt.
        :param limit_s: limit of the call, in seconds.
        :raises BackendError: if the engine did not answer as it should.
        """
        body = {'request_id': request_id, 'attempt': number}
        answer = await self._call(backend, '/v1/cancel', body, limit_s)
        return bool(answer.get('cancelled'))

    async def export_kv(
        self, backend: Backend, request_id: str, number: int, limit_s: float = 2
    ) -> KvExport:
        """Makes the KV cache of an attempt available to another engine.

        :param backend: the engine.
        :param request_id: the request.
        :param number: the attempt.
        :param limit_s: limit of the call, in seconds.
        :raises BackendError: if the engine did not answer as it should.
        """
        body = {'request_id': request_id, 'attempt': number}
        answer = await self._call(backend, '/v1/kv/export', body, limit_s)
        return _convert(backend, answer, KvExport)

    async def import_kv(
        self, backend: Backend, source: Backend, export: KvExport, limit_s: float = 5
    ) -> int:
        """Lets an engine fetch a KV cache from another; returns the tokens covered.

        :param backend: the engine that fetches.
        :param source: the engine that offers.
        :param export: from `export_kv`.
        :param limit_s: limit of the call, in seconds.
        :raises BackendError: if the engine did not answer as it should.
        """
        body = {'handle': export.handle, 'source': source.address}
        answer = await self._call(backend, '/v1/kv/import', body, limit_s)
        return _convert(backend, answer.get('tokens'), int)

    async def order(self, backend: Backend, order: EngineOrder, limit_s: float = 2) -> str:
        """Gives an order; returns `accepted` or `repeated`.

        :param backend: the engine.
        :param order: fenced order.
        :param limit_s: limit of the call, in seconds.
        :raises StaleOrderError: if the engine has seen a newer order.
        :raises BackendError: if the engine did not answer as it should.
        """
        answer = await self._call(backend, '/v1/orders', dataclasses.asdict(order), limit_s)
        error = answer.get('error')
        if error is None:
            return str(answer.get('outcome'))
        raise StaleOrderError(backend=backend.instance, term=order.term, number=order.number)

    async def _call(
        self, backend: Backend, path: str, body: dict[str, Any], limit_s: float
    ) -> dict[str, Any]:
        exchange = Exchange()
        async with attempt(backend, exchange, limit_s, path):
            response = await self._connections.request(
                backend,
                'POST',
                path,
                payload=msgspec.json.encode(body),
                headers=_HEADERS,
                exchange=exchange,
                # The answers name no request, so none may be left over from an earlier one.
                fresh=True,
            )
            try:
                payload = await read_limited(backend, response, _RESPONSE_LIMIT_BYTES)
            finally:
                response.close()
        answer = _decode(backend, payload)
        stale = response.status == _CONFLICT and _error_type(answer) == 'stale_order'
        if not (response.ok or stale):
            raise BackendError(
                backend=backend.instance, reason=f'{path}: {response.status} {_error_type(answer)}'
            )
        return answer


def _decode(backend: Backend, payload: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(payload, type=dict[str, Any])
    except MALFORMED as error:
        raise InvalidStreamError(backend=backend.instance, reason=str(error)) from error


def _convert(backend: Backend, answer: object, expected: type) -> Any:
    try:
        return msgspec.convert(answer, expected)
    except msgspec.ValidationError as error:
        raise InvalidStreamError(backend=backend.instance, reason=str(error)) from error


def _error_type(answer: dict[str, Any]) -> str:
    error = answer.get('error')
    return str(error.get('type')) if isinstance(error, dict) else ''
