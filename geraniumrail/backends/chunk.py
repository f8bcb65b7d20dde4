"""A piece of a streamed answer."""

from typing import Any

import msgspec


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """One event of an engine, checked against the attempt.

    A msgspec structure and not a dataclass, because one is made for each token and a frozen
    dataclass takes several times as long to construct (figures in bench/chunk_cost.py).
    """

    request_id: str
    attempt: int
    offset: int  # index of the first token
    text: str
    tokens: int
    finish_reason: str | None
    role: str | None
    event: dict[str, Any]  # as the engine sent it, without the `geraniumrail` object
