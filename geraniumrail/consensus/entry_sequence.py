"""The entries of a log in memory and their sizes."""

import bisect
from collections.abc import Iterable

from geraniumrail.consensus.entry import Entry, Stored


class EntrySequence:
    """Consecutive entries after a base position; sizes are sums of payloads in bytes."""

    def __init__(self, stored: Stored) -> None:
        """Creates the sequence.

        :param stored: content loaded from the storage.
        """
        self.base_index = stored.base_index
        self.base_term = stored.base_term
        self._entries: list[Entry] = []
        self._ends: list[int] = []  # size up to each entry, from an arbitrary origin
        self._base_end = 0
        self.extend(stored.entries)

    @property
    def last_index(self) -> int:
        """Position of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of a position, or None if the sequence does not hold it.

        :param index: position.
        """
        offset = index - self.base_index
        if offset == 0:
            return self.base_term
        return self._entries[offset - 1].term if 0 < offset <= len(self._entries) else None

    def size_after(self, index: int) -> int:
        """Returns the size of the entries after a position.

        :param index: position from the base to the last entry.
        """
        return self._end_at(self.last_index) - self._end_at(index)

    def first_within(self, last: int, size: int) -> int:
        """Returns the first position from which the entries up to `last` have at most a size.

        :param last: position of the last entry that counts.
        :param size: in bytes.
        """
        start = bisect.bisect_left((self._base_end, *self._ends), self._end_at(last) - size)
        return self.base_index + start + 1

    def read(self, first: int, entries: int, size: int) -> tuple[Entry, ...]:
        """Returns the entries from a position on, at least one if there is one.

        :param first: position of the first entry.
        :param entries: maximum number of entries.
        :param size: maximum size in bytes.
        """
        offset = first - self.base_index - 1
        limit = bisect.bisect_right(self._ends, self._end_at(first - 1) + size, offset)
        return tuple(self._entries[offset : min(offset + entries, max(limit, offset + 1))])

    def after(self, index: int) -> tuple[Entry, ...]:
        """Returns all entries after a position.

        :param index: position.
        """
        return tuple(self._entries[index - self.base_index :])

    def extend(self, entries: Iterable[Entry]) -> None:
        """Adds entries.

        :param entries: consecutive, the first one follows the last.
        """
        for entry in entries:
            self._ends.append(self._end_at(self.last_index) + len(entry.payload))
            self._entries.append(entry)

    def truncate(self, first: int) -> None:
        """Drops the entries at and after a position.

        :param first: position of the first entry to drop.
        """
        offset = first - self.base_index - 1
        self._entries = self._entries[:offset]
        self._ends = self._ends[:offset]

    def drop_until(self, index: int) -> None:
        """Makes a later position the base.

        :param index: position that the sequence holds.
        """
        offset = index - self.base_index
        self.base_term = self.term_at(index) or 0
        self._base_end = self._end_at(index)
        self._entries = self._entries[offset:]
        self._ends = self._ends[offset:]
        self.base_index = index

    def _end_at(self, index: int) -> int:
        offset = index - self.base_index
        return self._ends[offset - 1] if offset else self._base_end
