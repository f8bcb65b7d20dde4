"""What an entry tells the control leader about an open breaker."""

from geraniumrail.core.codec import record


@record
class BreakerReport:
    """State of one breaker that is not closed; sent with every report of the entry."""

    service: str
    version: str
    route: str  # '' for the whole version
    state: str  # open | half_open
    cause: str  # error_rate | latency
    step: int  # step of the move during which it opened
    times: int  # how often it has opened during this move
