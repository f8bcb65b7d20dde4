"""Load bands: latencies of two versions are compared only within the same band."""

QUEUEING_BAND = 2

_UTILISATION_BOUNDS = (0.5, 0.9)


def load_band(running: int, queued: int, slots: int) -> int:
    """Returns 0 if a version is lightly loaded, 1 if it is busy, 2 if requests may queue.

    The arguments are sums over all backend servers of the version, because the load of a single
    one changes faster than it is reported.

    :param running: requests in progress.
    :param queued: requests in the queue.
    :param slots: requests that can run at once.
    """
    utilisation = (running + queued) / max(1, slots)
    return sum(utilisation >= bound for bound in _UTILISATION_BOUNDS)


def between_tokens_band(band: int) -> int:
    """Returns the band for the time between tokens, on which queued requests have no effect.

    :param band: load band when the request was sent.
    """
    return min(band, QUEUEING_BAND - 1)
