"""Sizes in bytes of the messages that spread load knowledge."""

import struct
from collections.abc import Sequence

from geraniumrail.core import codec
from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport

# Headers of TCP/IP and of one HTTP/2 data frame with the gRPC prefix.
FRAME_BYTES = 66
_ROW = struct.Struct('!HBBBH')  # engine number, running, queued, KV in 1/255, age in ms
ROW_BYTES = _ROW.size
_MAX_BYTE = 255


@codec.record
class LoadBatch:
    """Load of several engines, packed; engine numbers come from the shared registry."""

    rows: bytes


def pack(reports: Sequence[tuple[int, LoadReport]]) -> bytes:
    """Encodes a batch.

    :param reports: engine number and load.
    """
    rows = (
        _ROW.pack(
            number,
            min(_MAX_BYTE, report.running),
            min(_MAX_BYTE, report.queued),
            round(report.kv_used * _MAX_BYTE),
            round(report.age_s * 1000),
        )
        for number, report in reports
    )
    return codec.encode(LoadBatch(rows=b''.join(rows)))


def record_bytes(report: LoadReport) -> int:
    """Returns the size of a report as the plain record with the name of the engine.

    :param report: typical load.
    """
    return len(codec.encode(report)) + len('engine-000')


def packed_bytes(report: LoadReport, count: int) -> float:
    """Returns the size for each report in a packed batch.

    :param report: typical load.
    :param count: reports in the batch.
    """
    return (len(pack([(number, report) for number in range(count)])) + FRAME_BYTES) / count


def announcement_bytes(backend: Backend) -> int:
    """Returns the size of an announcement.

    :param backend: typical announcement.
    """
    return len(codec.encode(backend)) + FRAME_BYTES
