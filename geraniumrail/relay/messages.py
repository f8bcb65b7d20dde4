"""Records of one relayed connection, in order: open, opened, data both ways, end."""

from geraniumrail.core.codec import record


@record
class OpenRelay:
    """Asks for a connection; the first record of the entry that is cut off."""

    address: str  # of the backend server, ip:port


@record
class RelayOpened:
    """The backend server has accepted the connection."""


@record
class RelayedBytes:
    """Bytes of the connection, as they were sent."""

    content: bytes


@record
class RelayEnded:
    """The backend server has ended the connection."""

    is_reset: bool = False  # an answer without a length is not complete then
