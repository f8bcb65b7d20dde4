"""One request to a plain service and its answer."""

import dataclasses
import functools

from geraniumrail.quarantine.fingerprint import fingerprint_of


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

    @functools.cached_property
    def traits(self) -> tuple[str, ...]:
        """What is remembered of it at a crash: the whole request."""
        return (fingerprint_of(self.organisation, self.method, self.path, self.body),)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """What the service answered."""

    status: int
    content_type: str
    body: bytes
    idempotency_key: str = ''  # set for requests that may not be repeated
