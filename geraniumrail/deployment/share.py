"""Part of a route's traffic that goes to one service."""

from geraniumrail.core.codec import record


@record
class Share:
    """One weighted target of a route."""

    service: str
    weight: float  # relative to the other shares of the route
