"""Headers that are passed on byte for byte.

Their text is UTF-8 with the bytes that aren't UTF-8 as surrogates, as the HTTP library reads it.
The library writes headers as UTF-8 and leaves surrogates out.
"""

import functools
from collections.abc import Callable, Mapping

from aiohttp import http_writer

_Serialize = Callable[[str, Mapping[str, str]], bytes]
_FORBIDDEN = frozenset('\r\n\0')


def text_of(raw: bytes) -> str:
    """Returns the text of a header's name or value.

    :param raw: as it came.
    """
    return raw.decode('utf-8', 'surrogateescape')


def install() -> None:
    """Has the HTTP library write headers as `text_of` reads them; may be repeated.

    The library has no parameter for it, so its function is replaced; its version is fixed.
    """
    known = http_writer._serialize_headers
    if not isinstance(known, functools.partial):
        http_writer._serialize_headers = functools.partial(_serialize, known)


def _serialize(known: _Serialize, status_line: str, headers: Mapping[str, str]) -> bytes:
    values = (status_line, *headers, *headers.values())
    if all(map(str.isascii, values)):
        return known(status_line, headers)
    if any(not _FORBIDDEN.isdisjoint(text) for text in values):
        raise ValueError('a header has a line break or a null character')
    lines = (status_line, *(f'{name}: {text}' for name, text in headers.items()), '', '')
    return '\r\n'.join(lines).encode('utf-8', 'surrogateescape')
