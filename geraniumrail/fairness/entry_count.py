"""The number of entries among which a common limit is divided."""

# A lower number of entries is used only after this time, which is longer than a lease. Entries
# report to a new leader one after the other, and each would use the parts of those that have not
# reported yet.
FEWER_ENTRIES_DELAY_S = 6.0


class EntryCount:
    """The numbers of entries that the leader has named recently."""

    def __init__(self) -> None:
        """Starts without a number: the leader has named none yet."""
        self.newest = 1
        self._seen: tuple[tuple[float, int], ...] = ()  # seconds and number, the highest first

    @property
    def highest(self) -> int:
        """The highest one, at least 1."""
        return max((1, *(count for _, count in self._seen)))

    def observe(self, entries: int, now: float) -> None:
        """Takes a number that the leader has sent.

        :param entries: number of entries.
        :param now: seconds.
        """
        self.newest = entries
        recent = (seen for seen in self._seen if seen[0] > now - FEWER_ENTRIES_DELAY_S)
        higher = (seen for seen in recent if seen[1] > entries)
        self._seen = (*higher, (now, entries))
