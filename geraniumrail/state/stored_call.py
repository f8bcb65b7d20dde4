"""The request of a booking as it is kept in the log."""

from geraniumrail.core.codec import record


@record
class StoredCall:
    """Enough of a request to send it from another entry."""

    method: str
    path: str  # path and query below /s/<service>
    route: str  # name of the route in the settings tree
    content_type: str = ''
    body: bytes = b''
