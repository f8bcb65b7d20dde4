"""Client of the cloud API."""

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from geraniumrail.backends.strict_handler import strict_connector
from geraniumrail.cloud.bounded_answer import read_answer
from geraniumrail.cloud.instance import CloudInstance
from geraniumrail.cloud.notice import CloudNotice
from geraniumrail.cloud.price import Price
from geraniumrail.core.malformed import MALFORMED
from geraniumrail.errors.cloud import (
    PlatformError,
    PlatformUnreachableError,
    StartRefusedError,
)

_SERVICE = 'cloud API'
_UNAVAILABLE = 503
_NOT_FOUND = 404
_FIRST_ERROR = 400
_Answer = TypeVar('_Answer')


class CloudClient:
    """One cloud API; the owner closes it.

    aiohttp may send a DELETE again after a lost connection, which ends the same instance; it never
    sends the POST of a start again.
    """

    def __init__(self, url: str, session: ClientSession) -> None:
        """Use `from_url`."""
        self._url = url.rstrip('/')
        self._session = session

    @classmethod
    def from_url(cls, url: str, limit_s: float = 5) -> 'CloudClient':
        """Creates the client; an event loop must be running.

        :param url: base URL.
        :param limit_s: limit of each call, in seconds.
        """
        # A late second answer on a kept connection would be taken for the answer to the next call.
        connector = strict_connector()
        return cls(url, ClientSession(connector=connector, timeout=ClientTimeout(total=limit_s)))

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def prices(self) -> tuple[Price, ...]:
        """Returns the prices of all classes and data centres.

        :raises PlatformError: if the API did not answer as it should.
        """
        answer = await self._call('GET', '/prices')
        listed = [{**line, 'machine_class': line['class']} for line in answer['prices']]
        return _convert(listed, tuple[Price, ...])

    async def start(
        self, machine_class: str, data_centre: str, *, reclaimable: bool
    ) -> CloudInstance:
        """Starts an instance.

        :param machine_class: class of machine.
        :param data_centre: where to start it.
        :param reclaimable: cheaper, with the risk of a reclaim.
        :raises StartRefusedError: if there is no capacity; nothing was started.
        :raises PlatformUnreachableError: if no answer arrived; it may have been started.
        :raises PlatformError: if the API did not answer as it should.
        """
        wanted = {'data_centre': data_centre, 'reclaimable': reclaimable}
        answer = await self._call('POST', '/instances', {'class': machine_class, **wanted})
        error = answer.get('error')
        if error is not None:
            raise StartRefusedError(
                machine_class=machine_class, data_centre=data_centre, reason=error.get('message')
            )
        return _convert(answer, CloudInstance)

    async def end(self, instance: str) -> None:
        """Ends an instance; one that is not known has ended already.

        :param instance: its id.
        :raises PlatformError: if the API did not answer as it should.
        """
        await self._call('DELETE', f'/instances/{instance}', accepted=_NOT_FOUND)

    async def instances(self) -> tuple[CloudInstance, ...]:
        """Returns all instances.

        :raises PlatformError: if the API did not answer as it should.
        """
        answer = await self._call('GET', '/instances')
        return _convert(answer.get('instances'), tuple[CloudInstance, ...])

    async def notices(self, after: int = 0) -> tuple[CloudNotice, ...]:
        """Returns the notices since the given one.

        :param after: sequence of the last notice seen.
        :raises PlatformError: if the API did not answer as it should.
        """
        answer = await self._call('GET', f'/notices?after={after}')
        return _convert(answer.get('notices'), tuple[CloudNotice, ...])

    async def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, object] | None = None,
        accepted: int = _UNAVAILABLE,
    ) -> dict[str, Any]:
        payload = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(method, self._url + path, data=payload) as response:
                status = response.status
                answer = _decode(await read_answer(response))
        except (ClientError, OSError) as error:
            raise PlatformUnreachableError(service=_SERVICE, reason=repr(error)) from error
        refused = status == accepted and 'error' in answer
        if status >= _FIRST_ERROR and not refused:
            raise PlatformError(service=_SERVICE, reason=f'{path}: status {status}')
        return answer


def _decode(payload: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(payload, type=dict[str, Any])
    except MALFORMED as error:
        raise PlatformError(service=_SERVICE, reason=str(error)) from error


def _convert(answer: object, expected: type[_Answer]) -> _Answer:
    try:
        return msgspec.convert(answer, expected)
    except msgspec.ValidationError as error:
        raise PlatformError(service=_SERVICE, reason=str(error)) from error
