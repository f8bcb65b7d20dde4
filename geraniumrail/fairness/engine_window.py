"""How many requests an entry may have in flight at each engine."""

import math

from geraniumrail.fairness.classes import rule_of

MIN_WINDOW = 1.0
MAX_WINDOW = 64.0
# The window grows while the first token takes less than this share of the target.
GROW_BELOW = 0.7
SHRINK_FACTOR = 0.8


class _Window:
    def __init__(self, size: float) -> None:
        self.size = size
        self.in_flight = 0
        self.shrunk_at = -math.inf


class EngineWindow:
    """Keeps queues at engines short, so that the fair queue decides the order.

    The size follows the time to the first token: it grows by about one for each window of answers
    in time and shrinks at most once in each target period.
    """

    def __init__(self, initial: float = 4) -> None:
        """Starts without engines.

        :param initial: first size, about the slots of an engine divided by the entries using it.
        """
        self._initial = max(MIN_WINDOW, initial)
        self._windows_by_engine: dict[str, _Window] = {}

    def allows(self, engine: str, traffic_class: str) -> bool:
        """Tells whether one more request may be sent.

        :param engine: instance.
        :param traffic_class: chat, quick or review; reviews leave a part of the window free.
        """
        window = self._window(engine)
        size = max(MIN_WINDOW, window.size * rule_of(traffic_class).window_share)
        return window.in_flight + 1 <= size

    def started(self, engine: str) -> None:
        """Notes a request that was sent.

        :param engine: instance.
        """
        self._window(engine).in_flight += 1

    def first_token(self, engine: str, wait_s: float, target_s: float, now: float) -> None:
        """Adapts the window to an observed time to the first token.

        :param engine: instance.
        :param wait_s: from sending to the first token, less the time to read an uncached prompt.
        :param target_s: setting `first_token_ms`, in seconds.
        :param now: monotonic seconds.
        """
        window = self._window(engine)
        if wait_s > target_s:
            if now - window.shrunk_at >= target_s:
                window.size = max(MIN_WINDOW, window.size * SHRINK_FACTOR)
                window.shrunk_at = now
        elif wait_s < GROW_BELOW * target_s and window.in_flight + 1 > window.size:
            window.size = min(MAX_WINDOW, window.size + 1 / window.size)

    def finished(self, engine: str) -> None:
        """Notes the end of a request.

        :param engine: instance.
        """
        window = self._window(engine)
        window.in_flight = max(0, window.in_flight - 1)

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone.

        :param engine: instance.
        """
        self._windows_by_engine.pop(engine, None)

    def in_flight(self, engine: str) -> int:
        """Returns the number of requests in flight at an engine.

        :param engine: instance.
        """
        return self._window(engine).in_flight

    def size(self, engine: str) -> float:
        """Returns the window of an engine.

        :param engine: instance.
        """
        return self._window(engine).size

    def _window(self, engine: str) -> _Window:
        window = self._windows_by_engine.get(engine)
        if window is None:
            window = _Window(self._initial)
            self._windows_by_engine[engine] = window
        return window
