"""Tells callers which entries to connect to, from what this entry knows."""

import itertools
from collections.abc import Iterable, Sequence

from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.links.messages import EntryInfo

# Entries with at least this part of the largest capacity are alike: machines of one class differ
# by some percent, and callers that are moved to and fro lose their connections.
ALIKE_PART = 0.5


class LocalDirectory:
    """Answers without asking the leader, as long as this entry holds a lease."""

    def __init__(self, entry: str, view: ClusterView) -> None:
        """Starts as the directory of an entry that serves.

        :param entry: id of this entry.
        :param view: what this entry knows.
        """
        self.is_leaving = False
        self._entry = entry
        self._view = view

    def entries(self) -> tuple[EntryInfo, ...]:
        """Returns the entries that serve, as far as this entry knows."""
        return tuple(
            info
            for info in self._view.entries
            if not (self.is_leaving and info.entry == self._entry)
        )

    def addresses(
        self, region: str, data_centre: str, max_addresses: int, host: str = ''
    ) -> list[str]:
        """Returns the addresses for a caller; none if what this entry knows may be stale.

        Entries for a host with regions are in the caller's own or in those, if there are any.

        :param region: of the caller.
        :param data_centre: of the caller.
        :param max_addresses: largest number of addresses to return.
        :param host: that the caller wants to reach.
        """
        if not self._view.holds_lease():
            return []
        entries = self.entries()
        allowed = self._view.table.common_regions(host)
        if allowed is not None:
            within = allowed | {region}
            entries = tuple(info for info in entries if info.region in within) or entries
        chosen = choose_entries(entries, region, data_centre, max_addresses)
        return [info.address for info in chosen]


def choose_entries(
    entries: Iterable[EntryInfo], region: str, data_centre: str, max_entries: int
) -> tuple[EntryInfo, ...]:
    """Chooses the entries for the callers of one data centre.

    Those of its own data centre and region come first. If there are more entries than addresses,
    each data centre leaves out different entries, so that all entries are returned equally often.
    The choice is deterministic, since callers close their connections to entries that are missing
    from a later answer. Callers pick one of the addresses at random, so an entry with a small part
    of the capacity of others is returned to the callers of fewer data centres, its own first.

    :param entries: all entries that serve.
    :param region: of the callers.
    :param data_centre: of the callers.
    :param max_entries: largest number of entries to return.
    """
    known = sorted(entries, key=lambda entry: (entry.region, entry.data_centre, entry.entry))
    ordered = _by_capacity(known, data_centre)
    names = [entry.data_centre for entry in ordered]
    start = names.index(data_centre) if data_centre in names else 0
    rotated = (*ordered[start:], *ordered[:start])
    near_first = sorted(rotated, key=lambda entry: entry.region != region)
    return tuple(itertools.islice(near_first, max_entries))


def _by_capacity(entries: Sequence[EntryInfo], data_centre: str) -> list[EntryInfo]:
    """Leaves out the small entries that serve the callers of other data centres.

    :param entries: all entries that serve, sorted.
    :param data_centre: of the callers.
    """
    largest = max((entry.capacity for entry in entries), default=0)
    data_centres = list(dict.fromkeys(entry.data_centre for entry in entries))
    own = data_centres.index(data_centre) if data_centre in data_centres else 0
    return [
        entry
        for entry in entries
        if entry.capacity >= ALIKE_PART * largest
        or (own - data_centres.index(entry.data_centre)) % len(data_centres)
        < max(1, round(entry.capacity / largest * len(data_centres)))
    ]
