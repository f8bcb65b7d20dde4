"""A command of the replicated state machine: which backend servers have left."""

from geraniumrail.core.codec import record
from geraniumrail.core.departure import Departure


@record
class RecordDepartures:
    """Adds departures, and removes those that are older than any message in transit."""

    added: tuple[Departure, ...] = ()
    at: float = 0  # agreed time of day of the proposer
