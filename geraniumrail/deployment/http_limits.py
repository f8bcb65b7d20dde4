"""Limits on what a caller may send."""

from geraniumrail.core.codec import record


@record
class HttpLimits:
    """Limits of a configuration; the defaults hold until the first one arrives."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3
    idle_timeout_s: float = 15
