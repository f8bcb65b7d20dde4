"""Frames of a file: magic, length and CRC-32C before each record.

A frame is written and synced as one, so only the last frame of a log can be incomplete after a
crash. The checksum also covers the offset of the frame, so that bytes of a frame at another offset,
for example inside a command, are not read as a frame of the log.
"""

import struct
from collections.abc import Iterator

import crc32c

from geraniumrail.errors.consensus import LogDamagedError

_MAGIC = b'\xf7gRL'
_HEADER = struct.Struct('>4sII')  # magic, length of the record, checksum
_CHECKSUM_PREFIX = struct.Struct('>QI')  # offset of the frame, length of the record


def frame(offset: int, record: bytes) -> bytes:
    """Returns a record with its header.

    :param offset: where the frame starts in the file.
    :param record: content.
    """
    return _HEADER.pack(_MAGIC, len(record), _checksum(offset, record)) + record


def read_frames(content: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the end and the record of each frame until the first that is not intact.

    :param content: the whole file.
    """
    offset = 0
    while (record := _record_at(content, offset)) is not None:
        offset += _HEADER.size + len(record)
        yield offset, record


def check_tail(file: str, content: bytes, end: int) -> None:
    """Checks that nothing but an incompletely written frame follows the last intact one.

    :param file: path for the error message.
    :param content: the whole file.
    :param end: end of the last intact frame.
    :raises LogDamagedError: if an intact frame follows: the file was damaged after it was written.
    """
    following = content.find(_MAGIC, end + 1)
    while following >= 0:
        if _record_at(content, following) is not None:
            reason = f'checksum mismatch; an intact record follows at offset {following}'
            raise LogDamagedError(file=file, offset=end, reason=reason)
        following = content.find(_MAGIC, following + 1)


def _record_at(content: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(content):
        return None
    magic, length, checksum = _HEADER.unpack_from(content, offset)
    if magic != _MAGIC or start + length > len(content):
        return None
    record = content[start : start + length]
    return record if _checksum(offset, record) == checksum else None


def _checksum(offset: int, record: bytes) -> int:
    return crc32c.crc32c(record, crc32c.crc32c(_CHECKSUM_PREFIX.pack(offset, len(record))))
