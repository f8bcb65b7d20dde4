"""Bookings and orders of the stand-in service; every run is in the journal."""

import asyncio
import collections
import dataclasses
import time
from typing import Any

import msgspec

from geraniumrail.standins.ledger import Ledger

_JOURNAL_LIMIT = 50_000


@dataclasses.dataclass(kw_only=True)
class Run:
    """One run; two entries with the same key mean that it ran twice."""

    number: int
    kind: str  # bookings | orders
    key: str
    attempt: str
    request_id: str
    body: Any
    version: str
    leaving: bool
    state: str = 'running'  # running | done
    started_at: float = 0  # wall clock, in seconds
    ended_at: float = 0

    def answer(self) -> dict[str, Any]:
        """Returns the body of the answer."""
        return {
            'id': f'{self.kind}-{self.number}',
            'key': self.key,
            'accepted': self.body,
            'version': self.version,
        }


class Bookings:
    """Runs whatever is asked, as often as it is asked."""

    def __init__(self, work_s: float, ledger: Ledger) -> None:
        """Starts with none.

        :param work_s: time that a run takes, in seconds.
        :param ledger: what became of each key.
        """
        self.ledger = ledger
        self.runs: collections.deque[Run] = collections.deque(maxlen=_JOURNAL_LIMIT)
        self._work_s = work_s
        self._newest_by_key: dict[str, Run] = {}
        self._finished = asyncio.Condition()

    def find(self, key: str) -> Run | None:
        """Returns the newest run of a key."""
        return self._newest_by_key.get(key)

    async def run(self, run: Run, slow: float) -> None:
        """Runs once.

        :param run: the new entry of the journal.
        :param slow: factor on the time.
        """
        run.started_at = time.time()
        self.runs.append(run)
        self._newest_by_key[run.key] = run
        payload = msgspec.json.encode(run.answer())
        self.ledger.put(run.key, 'running', payload)
        await asyncio.sleep(self._work_s * slow)
        self.ledger.put(run.key, 'done', payload)
        run.state = 'done'
        run.ended_at = time.time()
        async with self._finished:
            self._finished.notify_all()

    async def wait(self, run: Run) -> None:
        """Waits until a run is done."""
        async with self._finished:
            await self._finished.wait_for(lambda: run.state == 'done')
