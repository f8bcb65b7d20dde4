"""The time of day that most processes agree on."""

import statistics

# Reports of entries that are older than this say nothing about their clocks now.
REPORT_LIFE_S = 10.0


class MedianClock:
    """Median of the clocks of the leader and of the entries that report to it.

    The time of day of a single machine may jump; the clock of this process that counts seconds
    does not. What is kept is the difference between the two for each machine.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self._offsets_by_entry: dict[str, tuple[float, float]] = {}

    def observe(self, entry: str, wall: float, now: float) -> None:
        """Takes the time of day of an entry.

        :param entry: id of the entry.
        :param wall: its time of day in seconds since 1970; 0 if it sent none.
        :param now: seconds of the leader's clock when the report arrived.
        """
        if wall:
            self._offsets_by_entry[entry] = (wall - now, now)

    def wall(self, own_wall: float, now: float) -> float:
        """Returns the agreed time of day in seconds since 1970.

        :param own_wall: time of day of this machine.
        :param now: seconds of the leader's clock.
        """
        return now + self._offset(own_wall, now)

    def error_s(self, entry: str, own_wall: float, now: float) -> float:
        """Returns by how many seconds the clock of an entry is ahead of the agreed time.

        :param entry: id of the entry.
        :param own_wall: time of day of this machine.
        :param now: seconds of the leader's clock.
        """
        reported = self._offsets_by_entry.get(entry)
        return 0 if reported is None else reported[0] - self._offset(own_wall, now)

    def _offset(self, own_wall: float, now: float) -> float:
        self._offsets_by_entry = {
            entry: kept
            for entry, kept in self._offsets_by_entry.items()
            if now - kept[1] <= REPORT_LIFE_S
        }
        offsets = [offset for offset, _ in self._offsets_by_entry.values()]
        return statistics.median((own_wall - now, *offsets))
