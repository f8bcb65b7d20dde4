"""Bands of load within which latencies of two versions are comparable."""

QUEUEING_BAND = 2

_BOUNDS = (0.5, 0.9)


def load_band(running: int, queued: int, slots: int) -> int:
    """Returns 0 if a version is lightly loaded, 1 if it is busy, 2 if requests may queue.

    Use the sums over all backend servers of the version: the load of a single one changes
    faster than it is reported.

    :param running: requests being worked on.
    :param queued: requests waiting.
    :param slots: requests that can run at once.
    """
    used = (running + queued) / max(1, slots)
    return sum(used >= bound for bound in _BOUNDS)


def between_tokens_band(band: int) -> int:
    """Returns the band for the time between tokens, on which queued requests have no effect.

    :param band: load band when the request was sent.
    """
    return min(band, QUEUEING_BAND - 1)
