"""Rate at which a queue is dispatched."""

_WINDOW_S = 2.0


class DispatchRate:
    """Mean tokens dispatched per second while items wait."""

    def __init__(self) -> None:
        """Starts without a measurement."""
        self._tokens: float = 0
        self._busy_s: float = 0
        self._last_at: float | None = None

    def record(self, tokens: float, waiting: int, now: float) -> None:
        """Records the dispatch of an item.

        :param tokens: estimated tokens of the item.
        :param waiting: items left in the queue.
        :param now: monotonic seconds.
        """
        if self._last_at is not None:
            elapsed = now - self._last_at
            past_weight = max(0, 1 - elapsed / _WINDOW_S)
            self._tokens = self._tokens * past_weight + tokens
            self._busy_s = self._busy_s * past_weight + elapsed
        self._last_at = now if waiting else None

    def wait_s(self, tokens: float) -> float:
        """Returns the expected time to dispatch this many tokens; 0 without a measurement.

        :param tokens: tokens to dispatch.
        """
        return tokens * self._busy_s / self._tokens if self._tokens else 0
