"""Tells the other entries directly that backend servers leave, also while no leader is elected."""

import asyncio

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.entry import events
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.links.messages import Accepted, EntryInfo, LeavingNotice
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.server import LinkServer

BATCH_S = 0.1  # a wave of departures becomes a few messages
CALL_TIMEOUT_S = 0.8
TRIES = 3


class LeavingNotices:
    """One task that sends batches; a batch that gets no answer is sent again."""

    def __init__(self, entry: str, view: ClusterView, links: LinkPool) -> None:
        """Connects the parts.

        :param entry: id of this entry.
        :param view: knows the other entries.
        :param links: connections.
        """
        self._entry = entry
        self._view = view
        self._links = links
        self._pending: asyncio.Queue[Backend] = asyncio.Queue()

    def register(self, server: LinkServer) -> None:
        """Handles notices of other entries.

        :param server: the links of this process.
        """
        server.register(LeavingNotice, self._noticed)

    def add(self, backend: Backend) -> None:
        """Sends a notice to all other entries.

        :param backend: announcement with state leaving.
        """
        self._pending.put_nowait(backend)

    async def run(self) -> None:
        """Sends batches until cancelled."""
        # An entry that does not answer must not delay the next notice to the others.
        async with asyncio.TaskGroup() as sends:
            while True:
                first = await self._pending.get()
                await asyncio.sleep(BATCH_S)
                rest = [self._pending.get_nowait() for _ in range(self._pending.qsize())]
                notice = LeavingNotice(backends=(first, *rest))
                for info in self._view.entries:
                    if info.entry != self._entry:
                        sends.create_task(self._send(info, notice))

    async def _send(self, info: EntryInfo, notice: LeavingNotice) -> None:
        for _ in range(TRIES):
            try:
                await self._links.call(info.peer_address, notice, CALL_TIMEOUT_S)
            except GeraniumrailError as error:
                log(events.NOTICE_FAILED, entry=info.entry, reason=str(error))
                continue
            return

    async def _noticed(self, notice: LeavingNotice) -> Accepted:
        self._view.observe(notice.backends)
        return Accepted()
