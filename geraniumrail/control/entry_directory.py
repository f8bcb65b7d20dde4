"""Tells callers which entries to connect to."""

import itertools
from collections.abc import Iterable

from geraniumrail.control import events
from geraniumrail.control.access import ControlAccess
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.links.messages import EntryInfo
from geraniumrail.links.requests import ReadEntries

# How long the list of entries is used without a question to the leader.
LIST_LIFE_S = 0.4
LIST_LIMIT_S = 0.5  # of that question; a caller waits a second for its answer


class EntryDirectory:
    """Keeps the last list, since entries outlive a leader."""

    def __init__(self, access: ControlAccess, clock: Clock) -> None:
        """Starts without a list.

        :param access: calls to the leader.
        :param clock: time.
        """
        self._access = access
        self._clock = clock
        self._entries: tuple[EntryInfo, ...] = ()
        self._asked_at = float('-inf')

    async def addresses(self, region: str, data_centre: str, most: int) -> list[str]:
        """Returns the addresses for a caller.

        :param region: of the caller.
        :param data_centre: of the caller.
        :param most: how many addresses the caller takes.
        """
        await self._refresh()
        return [entry.address for entry in choose_entries(self._entries, region, data_centre, most)]

    async def _refresh(self) -> None:
        now = self._clock.now()
        if now - self._asked_at <= LIST_LIFE_S:
            return
        # Set first, so that callers that come at once ask the leader once.
        self._asked_at = now
        try:
            found = await self._access.call(ReadEntries(), LIST_LIMIT_S)
        except GeraniumrailError as error:
            log(events.LIST_REPEATED, entries=len(self._entries), reason=str(error))
            return
        if found.entries:
            self._entries = found.entries


def choose_entries(
    entries: Iterable[EntryInfo], region: str, data_centre: str, most: int
) -> tuple[EntryInfo, ...]:
    """Chooses the entries for the callers of one data centre.

    Those of its own data centre and region come first. Beyond that each data centre leaves out
    other entries, so that each entry is given out equally often, and always the same ones, since
    callers close their connections to entries that are not in a later answer.

    :param entries: all entries that serve.
    :param region: of the callers.
    :param data_centre: of the callers.
    :param most: how many a caller takes.
    """
    ordered = sorted(entries, key=lambda entry: (entry.region, entry.data_centre, entry.entry))
    names = [entry.data_centre for entry in ordered]
    first = names.index(data_centre) if data_centre in names else 0
    rotated = (*ordered[first:], *ordered[:first])
    near_first = sorted(rotated, key=lambda entry: entry.region != region)
    return tuple(itertools.islice(near_first, most))
