"""Speed at which the queue is worked off."""

_WINDOW_S = 2.0


class DispatchRate:
    """Mean of the tokens dispatched per second, over time in which something waited."""

    def __init__(self) -> None:
        """Starts without a measurement."""
        self._tokens: float = 0
        self._busy_s: float = 0
        self._seen_at: float | None = None

    def dispatched(self, tokens: float, waiting: int, now: float) -> None:
        """Notes one dispatch.

        :param tokens: estimate of the item.
        :param waiting: items left in the queue.
        :param now: monotonic seconds.
        """
        if self._seen_at is not None:
            elapsed = now - self._seen_at
            keep = max(0, 1 - elapsed / _WINDOW_S)
            self._tokens = self._tokens * keep + tokens
            self._busy_s = self._busy_s * keep + elapsed
        self._seen_at = now if waiting else None

    def wait_s(self, tokens: float) -> float:
        """Returns the expected time to dispatch this many tokens; 0 if not measured yet.

        :param tokens: waiting ahead.
        """
        return tokens * self._busy_s / self._tokens if self._tokens else 0
