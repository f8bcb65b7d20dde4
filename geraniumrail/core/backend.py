"""What a backend server announces about itself."""

from geraniumrail.core.cache_event import CacheEvent
from geraniumrail.core.codec import record
from geraniumrail.core.load_report import LoadReport


@record
class Backend:
    """One announcement; a new one with the same `instance` replaces it."""

    instance: str
    service: str
    address: str  # ip:port
    data_centre: str
    region: str
    version: str
    kind: str = 'engine'  # engine | plain
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    state: str = 'serving'  # serving | leaving
    lease_s: float = 6
    sequence: int = 0  # grows with each announcement of this incarnation
    incarnation: int = 0  # Unix milliseconds of the start; 0: not known
    load: LoadReport = LoadReport()
    load_known: bool = True  # False: relayed without load to an entry that does not use it
    cache_events: tuple[CacheEvent, ...] = ()
    reclaimable: bool = False
    leaves_in_s: float = -1  # time that is left when it announced that it leaves; -1: not known
    cold_s: float = 0  # for which it was still cold when it announced itself

    @property
    def freshness(self) -> tuple[int, int]:
        """Orders announcements; a restarted instance counts its sequence anew."""
        return (self.incarnation, self.sequence)
