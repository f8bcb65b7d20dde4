"""Answers of plain services."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """A whole answer, whatever its status."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class StillRunning:
    """The key was taken and has not ended."""

    key: str
