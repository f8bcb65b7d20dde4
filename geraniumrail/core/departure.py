"""That a backend server has left, or has begun to."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.codec import record

# Above the sequence of any announcement.
LAST_SEQUENCE = (1 << 63) - 1


@record
class Departure:
    """Announcements up to `incarnation` and `sequence` are outdated, however late they arrive."""

    instance: str
    incarnation: int
    sequence: int  # of the last outdated announcement; LAST_SEQUENCE if none may follow
    at: float = 0  # agreed time of day when it was recorded, in seconds since 1970
    number: int = 0  # grows with each departure in the replicated log

    @property
    def freshness(self) -> tuple[int, int]:
        """Orders departures and announcements of one instance."""
        return (self.incarnation, self.sequence)

    def covers(self, backend: Backend) -> bool:
        """Returns whether an announcement is outdated; that of a later start is not.

        :param backend: an announcement of the same instance.
        """
        return backend.freshness <= self.freshness
