"""Chooses the entries that callers connect to."""

import itertools
from collections.abc import Iterable

from geraniumrail.control import events
from geraniumrail.control.access import ControlAccess
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.links.messages import EntryInfo
from geraniumrail.links.requests import ReadEntries

# The list of entries is read from the leader again after this time.
LIST_CACHE_S = 0.4
LIST_TIMEOUT_S = 0.5  # of a read from the leader; callers give up after 1 s


class EntryDirectory:
    """Caches the list of entries; without a leader the last one is used."""

    def __init__(self, access: ControlAccess, clock: Clock) -> None:
        """Starts without a list.

        :param access: calls to the leader.
        :param clock: time.
        """
        self._access = access
        self._clock = clock
        self._entries: tuple[EntryInfo, ...] = ()
        self._requested_at = float('-inf')

    async def addresses(self, region: str, data_centre: str, max_addresses: int) -> list[str]:
        """Returns the addresses for a caller.

        :param region: of the caller.
        :param data_centre: of the caller.
        :param max_addresses: largest number of addresses to return.
        """
        await self._refresh()
        return [
            entry.address
            for entry in choose_entries(self._entries, region, data_centre, max_addresses)
        ]

    async def _refresh(self) -> None:
        now = self._clock.now()
        if now - self._requested_at <= LIST_CACHE_S:
            return
        # Set before the call, so that concurrent callers cause one read from the leader.
        self._requested_at = now
        try:
            reply = await self._access.call(ReadEntries(), LIST_TIMEOUT_S)
        except GeraniumrailError as error:
            log(events.ENTRY_LIST_REUSED, entries=len(self._entries), reason=str(error))
            return
        if reply.entries:
            self._entries = reply.entries


def choose_entries(
    entries: Iterable[EntryInfo], region: str, data_centre: str, max_entries: int
) -> tuple[EntryInfo, ...]:
    """Chooses the entries for the callers of one data centre.

    Those of its own data centre and region come first. If there are more entries than addresses,
    each data centre leaves out different entries, so that all entries are returned equally often.
    The choice is deterministic, since callers close their connections to entries that are missing
    from a later answer.

    :param entries: all entries that serve.
    :param region: of the callers.
    :param data_centre: of the callers.
    :param max_entries: largest number of entries to return.
    """
    ordered = sorted(entries, key=lambda entry: (entry.region, entry.data_centre, entry.entry))
    names = [entry.data_centre for entry in ordered]
    start = names.index(data_centre) if data_centre in names else 0
    rotated = (*ordered[start:], *ordered[:start])
    near_first = sorted(rotated, key=lambda entry: entry.region != region)
    return tuple(itertools.islice(near_first, max_entries))
