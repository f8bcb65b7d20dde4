"""State of a circuit breaker, as an entry reports it to the control leader."""

from geraniumrail.core.codec import record


@record
class BreakerReport:
    """A breaker that has opened during the move; sent with every report of the entry."""

    service: str
    version: str
    route: str  # '' for the whole version
    state: str  # closed | open | half_open
    cause: str  # error_rate | latency
    step: int  # step of the move during which it opened
    times: int  # how often it has opened during this move
