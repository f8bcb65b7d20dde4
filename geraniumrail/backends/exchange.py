"""How far one request has come on the wire."""

import dataclasses
from collections.abc import Callable


class ResendError(Exception):
    """The HTTP library was about to send a request a second time."""


class WithdrawnError(Exception):
    """The request may not be sent any more."""


@dataclasses.dataclass
class Exchange:
    """Kept up to date by the connector."""

    request_id: str = ''  # under which the answer comes; empty if the answer names no request
    # Asked when there is a connection, which can take long; None: it may always be sent.
    may_send: Callable[[], bool] | None = None
    connected: bool = False  # from here on the request may have been written
