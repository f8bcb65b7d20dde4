"""Tolerance by which divided limits may be exceeded."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Slack:
    """Tokens by which all entries together may exceed a limit in a window."""

    tokens: float = 0
    window_s: float = 0  # 0: limits are not counted in windows
