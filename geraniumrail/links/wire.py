"""Encodes the records of the links and counts their bytes for this process."""

import dataclasses
from typing import Any

from geraniumrail.core import codec


@dataclasses.dataclass
class Traffic:
    """Bytes of records, without the framing of gRPC and TCP."""

    sent: int = 0
    received: int = 0


TRAFFIC = Traffic()


def encode(item: object) -> bytes:
    """Encodes a record to be sent.

    :param item: the record.
    """
    payload = codec.encode(item)
    TRAFFIC.sent += len(payload)
    return payload


def decode(payload: bytes) -> Any:
    """Decodes a received record.

    :param payload: bytes made by `encode`.
    """
    TRAFFIC.received += len(payload)
    return codec.decode(payload)
