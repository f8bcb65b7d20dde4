"""New connections to backend servers: directly, or through another entry."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence

from geraniumrail.backends.connection_probe import PROBE_TIMEOUT_S, refuses_connections
from geraniumrail.backends.path import Connect, Handler, MakeHandler
from geraniumrail.config.address import split_address
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.link import LinkError
from geraniumrail.links.messages import EntryInfo
from geraniumrail.links.pool import LinkPool
from geraniumrail.relay import events
from geraniumrail.relay.messages import OpenRelay
from geraniumrail.relay.reach import Reach
from geraniumrail.relay.transport import RELAYED_TO, RelayTransport

# Of the helping entry, which itself gives up a connection after half a second.
OPEN_TIMEOUT_S = 0.8
MAX_HELPERS = 3  # that are asked for one connection
# A helping entry that has refused is not asked again for so long.
REFUSED_S = 2.0
# That are tried before this entry takes itself for cut off, or a server for one that has ended.
OTHER_SERVERS = 4


class Paths:
    """Implements `backends.path.Path` for an entry."""

    def __init__(
        self, entry: str, view: ClusterView, links: LinkPool, clock: Clock, rng: random.Random
    ) -> None:
        """Starts with a direct path.

        :param entry: id of this entry.
        :param view: knows the other entries.
        :param links: connections to them.
        :param clock: time.
        :param rng: source of draws.
        """
        self.reach = Reach(clock.now)
        self._entry = entry
        self._view = view
        self._links = links
        self._clock = clock
        self._rng = rng
        self._refused_at_by_entry: dict[str, float] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def suits(self, handler: Handler) -> bool:
        """Returns whether an idle connection may be used.

        Without an answer to new connections, those that were opened before hang as well.

        :param handler: of the connection.
        """
        transport = handler.transport
        relayed_to = None if transport is None else transport.get_extra_info(RELAYED_TO)
        if relayed_to is None:
            return not (self.reach.is_cut_off and self.reach.is_silent)
        self._probe_if_due(relayed_to)
        return self.reach.is_cut_off

    async def connect(self, address: str, direct: Connect, make: MakeHandler) -> Handler:
        """Opens a connection.

        :param address: of the backend server, ip:port.
        :param direct: opens it directly.
        :param make: makes the protocol of a relayed connection.
        :raises OSError: if there is none.
        """
        if not self.reach.is_cut_off:
            try:
                handler = await direct()
            except (OSError, TimeoutError) as error:
                if not self.reach.note_failed(address) or await self._reaches_others(error):
                    raise
            else:
                self.reach.note_connected(address)
                return handler
        self._probe_if_due(address)
        try:
            return await self._relayed(address, make)
        except ConnectionError:
            if self.reach.is_silent:
                raise  # a direct connection would fail as well, after a while
        return await direct()

    async def has_ended(self, backend: Backend) -> bool:
        """Returns whether nothing listens at the address of a backend server.

        A refused connection says so only if this entry reaches other servers.

        :param backend: the backend server.
        """
        if self.reach.is_cut_off or not await refuses_connections(backend):
            return False
        if self.reach.connected_lately():
            return True
        others = self._others(frozenset((backend.address,)))
        return not others or await self._accepts_any(others)

    async def _reaches_others(self, error: Exception) -> bool:
        others = self._others(self.reach.failed)
        if await self._accepts_any(others):
            self.reach.note_connected(others[0])
            return True
        self.reach.cut_off(is_silent=isinstance(error, TimeoutError))
        return False

    def _others(self, except_for: frozenset[str]) -> list[str]:
        """Returns the addresses of some servers of all services."""
        backends = self._view.backends_by_instance.values()
        serving = {each.address for each in backends if each.state == 'serving'}
        known = sorted(serving - except_for)
        return self._rng.sample(known, min(OTHER_SERVERS, len(known)))

    async def _accepts_any(self, addresses: Sequence[str]) -> bool:
        return any(await asyncio.gather(*map(_accepts, addresses)))

    async def _relayed(self, address: str, make: MakeHandler) -> Handler:
        for helper in self._helpers():
            try:
                return await self._open(helper.peer_address, address, make)
            except (GeraniumrailError, TimeoutError) as error:
                self._refused_at_by_entry[helper.entry] = self._clock.now()
                log(
                    events.HELPER_FAILED,
                    entry=helper.entry,
                    address=address,
                    reason=str(error) or 'silent',
                )
        raise ConnectionError(f'neither this entry nor another one has a path to {address}')

    def _helpers(self) -> Sequence[EntryInfo]:
        """Returns the entries to ask, at most one of the own data centre, which goes first."""
        now = self._clock.now()
        self._refused_at_by_entry = {
            entry: at for entry, at in self._refused_at_by_entry.items() if now - at < REFUSED_S
        }
        others = [
            info
            for info in self._view.entries
            if info.entry != self._entry and info.entry not in self._refused_at_by_entry
        ]
        self._rng.shuffle(others)
        own = next((info for info in self._view.entries if info.entry == self._entry), None)
        near = [info for info in others if own and info.data_centre == own.data_centre]
        far = [info for info in others if info not in near]
        return (*near[:1], *far, *near[1:])[:MAX_HELPERS]

    async def _open(self, helper: str, address: str, make: MakeHandler) -> Handler:
        unsent: asyncio.Queue[object] = asyncio.Queue()
        records = self._links.client(helper).relay(_records(OpenRelay(address=address), unsent))
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                opened = await anext(records, None)
            if opened is None:
                raise LinkError(address=helper, reason='the stream ended')
        except BaseException:
            await records.aclose()
            raise
        handler = make()
        RelayTransport(address, handler, unsent.put_nowait).start(records)
        return handler

    def _probe_if_due(self, address: str) -> None:
        if self.reach.wants_probe():
            task = asyncio.create_task(self._probe(address), name='path-probe')
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)

    async def _probe(self, address: str) -> None:
        if await _accepts(address):
            self.reach.note_connected(address)


async def _records(first: object, unsent: asyncio.Queue[object]) -> AsyncIterator[object]:
    yield first
    while True:
        yield await unsent.get()


async def _accepts(address: str) -> bool:
    host, port = split_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
