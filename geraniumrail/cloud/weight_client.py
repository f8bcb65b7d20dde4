"""Client of the weight store."""

from collections.abc import AsyncIterator
from urllib.parse import quote

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from geraniumrail.backends.strict_handler import strict_connector
from geraniumrail.errors.cloud import (
    PlatformError,
    PlatformUnreachableError,
    RateLimitedError,
    WeightsIncompleteError,
)

_SERVICE = 'weight store'
_OK = 200
_TOO_MANY = 429
_DEFAULT_RETRY_S = 1


class WeightClient:
    """One weight store; the owner closes it."""

    def __init__(self, url: str, session: ClientSession) -> None:
        """Use `from_url`."""
        self._url = url.rstrip('/')
        self._session = session

    @classmethod
    def from_url(cls, url: str, silence_limit_s: float = 10) -> 'WeightClient':
        """Creates the client; an event loop must be running.

        :param url: base URL.
        :param silence_limit_s: limit of the time without a byte; a transfer may take long.
        """
        timeout = ClientTimeout(total=None, sock_connect=silence_limit_s, sock_read=silence_limit_s)
        # Answers name no weights: a late second one on a kept connection would be taken for others.
        connector = strict_connector()
        session = ClientSession(connector=connector, timeout=timeout, auto_decompress=False)
        return cls(url, session)

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def read(self, name: str) -> AsyncIterator[bytes]:
        """Yields the weights in pieces.

        :param name: name of the weights.
        :raises RateLimitedError: if the store asks to wait.
        :raises WeightsIncompleteError: if the transfer ended early.
        :raises PlatformUnreachableError: if the store can't be reached or went silent.
        :raises PlatformError: if the store answered otherwise.
        """
        received_bytes = 0
        expected_bytes = None
        try:
            async with self._session.get(f'{self._url}/weights/{quote(name, safe="")}') as response:
                _check(name, response)
                expected_bytes = response.content_length
                async for piece in response.content.iter_any():
                    received_bytes += len(piece)
                    yield piece
        except ClientPayloadError as error:
            raise WeightsIncompleteError(
                name=name, received_bytes=received_bytes, expected_bytes=expected_bytes
            ) from error
        except (ClientError, OSError) as error:
            raise PlatformUnreachableError(service=_SERVICE, reason=repr(error)) from error


def _check(name: str, response: ClientResponse) -> None:
    if response.status == _TOO_MANY:
        wait = response.headers.get('Retry-After', '')
        retry_after_s = int(wait) if wait.isdecimal() else _DEFAULT_RETRY_S
        raise RateLimitedError(name=name, retry_after_s=retry_after_s)
    if response.status != _OK:
        raise PlatformError(service=_SERVICE, reason=f'{name}: status {response.status}')
