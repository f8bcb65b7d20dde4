"""Sends the answers of the stand-in service, with the faults that tests switch on."""

import asyncio
from collections.abc import Mapping

import msgspec
from aiohttp import web

from geraniumrail.standins.faults import Fault, Faults
from geraniumrail.standins.replies import json_reply

_LONG_BYTES = 64 * 1024 * 1024
_CHUNK = b'x' * 65536
_REQUEST_ID = 'X-Request-Id'


class ServiceAnswers:
    """The last step of a request."""

    def __init__(self, faults: Faults) -> None:
        """Creates the sender.

        :param faults: switches.
        """
        self._faults = faults

    async def send(
        self, request: web.Request, body: Mapping[str, object], status: int
    ) -> web.StreamResponse:
        """Sends an answer, or what a fault makes of it.

        :param request: the request.
        :param body: the right answer.
        :param status: its HTTP status.
        """
        headers = {_REQUEST_ID: request.headers.get(_REQUEST_ID, '')}
        lost = self._faults.hit('lose_answer', (request.path,))
        if lost is not None:
            return await _lose(request, lost)
        if self._faults.hit('crossed', (request.path,)):
            other = {**body, 'id': 'of-another', 'key': 'of-another'}
            return json_reply(other, status, {_REQUEST_ID: 'request-of-another'})
        late = self._faults.hit('late', (request.path,))
        if late is not None:
            return await _send_twice(request, body, headers, late)
        if self._faults.hit('long', (request.path,)):
            return await _send_long(request)
        if self._faults.hit('truncate', (request.path,)):
            return await _truncate(request, body)
        return json_reply(body, status, headers)


async def _lose(request: web.Request, fault: Fault) -> web.StreamResponse:
    if fault.how == 'hang':
        await asyncio.Event().wait()
    if request.transport is not None:
        request.transport.close()
    raise ConnectionResetError


async def _send_twice(
    request: web.Request, body: Mapping[str, object], headers: Mapping[str, str], fault: Fault
) -> web.StreamResponse:
    """Sends a second answer nobody asked for, as if it were late on this connection."""
    payload = msgspec.json.encode(body)
    late = msgspec.json.encode({**body, 'key': 'late-answer'})
    response = web.StreamResponse(headers={**headers, 'Content-Length': str(len(payload))})
    await response.prepare(request)
    await response.write(payload)
    await asyncio.sleep(fault.delay_s)
    if request.transport is not None:
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(late)}\r\n\r\n'
        request.transport.write(head.encode() + late)
    return response


async def _send_long(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    for _ in range(_LONG_BYTES // len(_CHUNK)):
        await response.write(_CHUNK)
    return response


async def _truncate(request: web.Request, body: Mapping[str, object]) -> web.StreamResponse:
    payload = msgspec.json.encode(body)
    response = web.StreamResponse(headers={'Content-Length': str(len(payload))})
    await response.prepare(request)
    await response.write(payload[:-1])
    if request.transport is not None:
        request.transport.close()
    return response
