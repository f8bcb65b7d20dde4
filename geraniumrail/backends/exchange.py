"""How far one request has come on the wire."""

import dataclasses


class ResendError(Exception):
    """The HTTP library was about to send a request a second time."""


@dataclasses.dataclass
class Exchange:
    """Kept up to date by the connector."""

    request_id: str = ''  # under which the answer comes; empty if the answer names no request
    connected: bool = False  # from here on the request may have been written
