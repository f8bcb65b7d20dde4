"""Turns failures of the HTTP library into errors that say whether the request may have run."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import ClientError, ClientResponse
from aiohttp.http import HttpProcessingError

from geraniumrail.backends.exchange import Exchange, ResendError
from geraniumrail.core.backend import Backend
from geraniumrail.errors.backend import (
    ConnectionLostError,
    NotSentError,
    ResponseTooLongError,
    StalledError,
)

FAILURES = (ClientError, HttpProcessingError, OSError, ResendError)


@contextlib.asynccontextmanager
async def attempt(
    backend: Backend, exchange: Exchange, limit_s: float, phase: str
) -> AsyncIterator[None]:
    """Limits a step of a request and translates its failures.

    :param backend: named in the errors.
    :param exchange: how far the request has come.
    :param limit_s: limit of the step, in seconds.
    :param phase: name of the step in `StalledError`.
    :raises NotSentError: if no connection was established.
    :raises StalledError: if the limit has passed after the request may have been written.
    :raises ConnectionLostError: for any other failure.
    """
    limit = asyncio.timeout(limit_s)
    try:
        async with limit:
            yield
    except FAILURES as error:
        if not exchange.connected:
            raise NotSentError(backend=backend.instance, reason=repr(error)) from error
        if limit.expired():
            raise StalledError(backend=backend.instance, limit_s=limit_s, phase=phase) from error
        raise ConnectionLostError(backend=backend.instance, reason=repr(error)) from error


async def read_limited(backend: Backend, response: ClientResponse, limit_bytes: int) -> bytes:
    """Reads a body.

    :param backend: named in the error.
    :param response: its head has arrived.
    :param limit_bytes: greatest length of the body.
    :raises ResponseTooLongError: if the body is longer.
    """
    parts = []
    size = 0
    try:
        async for part in response.content.iter_any():
            size += len(part)
            if size > limit_bytes:
                raise ResponseTooLongError(backend=backend.instance, limit_bytes=limit_bytes)
            parts.append(part)
        return b''.join(parts)
    finally:
        parts.clear()  # the traceback of a failure would keep them
