"""The median time of day of the processes."""

import statistics

# The clocks of entries that have not reported within this time are ignored.
REPORT_VALID_S = 10.0


class MedianClock:
    """Median of the clocks of the leader and of the entries that report to it.

    The time of day of a single machine may jump; the monotonic clock of the leader does not. For
    each machine the difference between the two is stored.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self._offsets_by_entry: dict[str, tuple[float, float]] = {}

    def observe(self, entry: str, wall: float, now: float) -> None:
        """Records the time of day of an entry.

        :param entry: id of the entry.
        :param wall: its time of day in seconds since 1970; 0 if it sent none.
        :param now: monotonic seconds of the leader when the report arrived.
        """
        if wall:
            self._offsets_by_entry[entry] = (wall - now, now)

    def wall(self, own_wall: float, now: float) -> float:
        """Returns the median time of day in seconds since 1970.

        :param own_wall: time of day of this machine.
        :param now: monotonic seconds of the leader.
        """
        return now + self._median_offset(own_wall, now)

    def error_s(self, entry: str, own_wall: float, now: float) -> float:
        """Returns by how many seconds the clock of an entry is ahead of the median.

        :param entry: id of the entry.
        :param own_wall: time of day of this machine.
        :param now: monotonic seconds of the leader.
        """
        reported = self._offsets_by_entry.get(entry)
        return 0 if reported is None else reported[0] - self._median_offset(own_wall, now)

    def _median_offset(self, own_wall: float, now: float) -> float:
        self._offsets_by_entry = {
            entry: reported
            for entry, reported in self._offsets_by_entry.items()
            if now - reported[1] <= REPORT_VALID_S
        }
        offsets = [offset for offset, _ in self._offsets_by_entry.values()]
        return statistics.median((own_wall - now, *offsets))
