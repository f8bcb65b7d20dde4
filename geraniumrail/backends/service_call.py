"""One attempt of a request to a plain service."""

import dataclasses

_Headers = tuple[tuple[str, str], ...]
# Headers of one connection, and those that say how a body is sent (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'expect',
    )
)
# Those that the client of plain services sets itself.
_OWN_HEADERS = CONNECTION_HEADERS | {'idempotency-key', 'x-attempt', 'x-request-id'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """What to send, and how long to wait for it."""

    method: str
    path: str  # with query, percent-encoded
    headers: _Headers = ()
    body: bytes = b''
    request_id: str = ''
    attempt: int = 1
    key: str = ''  # idempotency key
    limit_s: float = 10  # for the whole answer
    limit_bytes: int = 16 * 1024 * 1024  # length of the body of the answer
    # A late answer on an idle connection would be read as the answer to the next request, and
    # nothing in a plain service's answer needs to name its request.
    fresh: bool = True

    def sent_headers(self) -> _Headers:
        """Returns the headers for the service."""
        own = (
            ('Idempotency-Key', self.key),
            ('X-Request-Id', self.request_id),
            ('X-Attempt', str(self.attempt)),
        )
        named = tuple((name, value) for name, value in own if value)
        return (*end_to_end(self.headers), *named)


def end_to_end(headers: _Headers, own: frozenset[str] = _OWN_HEADERS) -> _Headers:
    """Leaves out the headers that belong to one connection.

    :param headers: as they came.
    :param own: names in lower case that are left out.
    """
    named = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for option in value.split(',')
    }
    left_out = named | own
    return tuple((name, value) for name, value in headers if name.lower() not in left_out)
