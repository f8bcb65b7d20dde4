"""Announces a server at entries and renews the announcement."""

import asyncio
import contextlib
import dataclasses
import itertools
import time
from collections.abc import Callable

import aiohttp
import msgspec

from geraniumrail.core import events
from geraniumrail.core.backend import Backend
from geraniumrail.standins.events import ANNOUNCE_FAILED

_DEFAULT_RENEW_S = 2
_TIMEOUT_S = 1
_RETRY_S = 0.25


class Announcer:
    """One task that announces; `hurry` announces at once."""

    def __init__(
        self,
        entries: tuple[str, ...],
        key: str,
        describe: Callable[[], Backend],
        *,
        to_all: bool = False,
    ) -> None:
        """Creates the announcer.

        :param entries: base URLs of entries.
        :param key: API key of the server.
        :param describe: builds the announcement.
        :param to_all: announce at every entry, not only at the first that answers.
        """
        self._entries = list(entries)
        self._headers = {'Authorization': f'Bearer {key}', 'Content-Type': 'application/json'}
        self._describe = describe
        self._to_all = to_all
        # Grows across restarts, so that entries take a restarted server's announcements at once.
        self._sequences = itertools.count(int(time.time() * 1000))
        self._hurry = asyncio.Event()

    def hurry(self) -> None:
        """Announces at once."""
        self._hurry.set()

    async def run(self) -> None:
        """Announces until cancelled."""
        if not self._entries:
            return
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._hurry.clear()
                renew_in_s = await self._announce(session)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._hurry.wait(), renew_in_s)

    async def _announce(self, session: aiohttp.ClientSession) -> float:
        backend = dataclasses.replace(self._describe(), sequence=next(self._sequences))
        payload = msgspec.json.encode(backend)
        if self._to_all:
            answers = await asyncio.gather(
                *(self._post(session, entry, payload) for entry in self._entries)
            )
            return min((answer for answer in answers if answer is not None), default=_RETRY_S)
        for entry in tuple(self._entries):
            renew_in_s = await self._post(session, entry, payload)
            if renew_in_s is not None:
                return renew_in_s
            self._entries.append(self._entries.pop(0))
        return _RETRY_S

    async def _post(
        self, session: aiohttp.ClientSession, entry: str, payload: bytes
    ) -> float | None:
        url = f'{entry}/v1/announce'
        try:
            async with session.post(url, data=payload, headers=self._headers) as response:
                response.raise_for_status()
                answer = msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            events.log(ANNOUNCE_FAILED, entry=entry, reason=repr(error))
            return None
        return float(answer.get('renew_in_s', _DEFAULT_RENEW_S))
