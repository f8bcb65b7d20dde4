"""Frames of a file: magic, length and CRC-32C before each record.

A frame is written and synced as one, so only the last frame of a log can be incomplete after a
crash. The checksum also covers the offset of the frame, so that bytes of a frame at another offset,
for example inside a command, are not read as a frame of the log.
"""

import os
import struct
from collections.abc import Iterator
from typing import BinaryIO

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
    return header(offset, record) + record


def header(offset: int, record: bytes) -> bytes:
    """Returns what precedes a record in a file.

    :param offset: where the frame starts in the file.
    :param record: content.
    """
    return _HEADER.pack(_MAGIC, len(record), _checksum(offset, record))


def read_frames(source: BinaryIO) -> Iterator[tuple[int, bytes]]:
    """Yields the end and the record of each frame until the first that is not intact.

    :param source: file opened for reading, at its start.
    """
    size = os.fstat(source.fileno()).st_size
    offset = 0
    while (record := _read_record(source, offset, size)) is not None:
        offset += _HEADER.size + len(record)
        yield offset, record


def check_tail(file: str, source: BinaryIO, end: int) -> None:
    """Checks that nothing but an incompletely written frame follows the last intact one.

    :param file: path for the error message.
    :param source: file opened for reading.
    :param end: end of the last intact frame.
    :raises LogDamagedError: if an intact frame follows: the file was damaged after it was written.
    """
    source.seek(end)
    tail = source.read()
    following = tail.find(_MAGIC, 1)
    while following >= 0:
        if _is_intact(memoryview(tail)[following:], end + following):
            reason = f'checksum mismatch; an intact record follows at offset {end + following}'
            raise LogDamagedError(file=file, offset=end, reason=reason)
        following = tail.find(_MAGIC, following + 1)


def _read_record(source: BinaryIO, offset: int, size: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > size:
        return None
    magic, length, checksum = _HEADER.unpack(source.read(_HEADER.size))
    if magic != _MAGIC or start + length > size:
        return None
    record = source.read(length)
    return record if _checksum(offset, record) == checksum else None


def _is_intact(content: memoryview, offset: int) -> bool:
    """Returns whether content begins with a frame that was written at an offset."""
    if len(content) < _HEADER.size:
        return False
    _, length, checksum = _HEADER.unpack_from(content)
    record = content[_HEADER.size : _HEADER.size + length]
    return len(record) == length and _checksum(offset, record) == checksum


def _checksum(offset: int, record: bytes | memoryview) -> int:
    return crc32c.crc32c(record, crc32c.crc32c(_CHECKSUM_PREFIX.pack(offset, len(record))))
