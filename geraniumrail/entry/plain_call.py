"""One request to a plain service and its answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainCall:
    """A request below `/s/<service>/`."""

    request_id: str
    organisation: str
    service: str
    method: str
    path: str  # path and query below /s/<service>
    route: str
    content_type: str = ''
    body: bytes = b''
    idempotency_key: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """What the service answered."""

    status: int
    content_type: str
    body: bytes
    idempotency_key: str = ''  # set for requests that may not be repeated
