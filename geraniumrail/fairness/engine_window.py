"""How many requests an entry may have in flight at each engine."""

import collections
import math
from collections.abc import Iterable

from geraniumrail.core.load_report import LoadReport
from geraniumrail.fairness.traffic_classes import rule_of

MIN_WINDOW = 1.0
MAX_WINDOW = 64.0
# Shares of the target. One request above the slots of an engine already waits about as long as the
# target, so the window reacts well before the target is missed.
GROW_BELOW = 0.25
SHRINK_ABOVE = 0.5
SHRINK_FACTOR = 0.8
# All entries together leave about a tenth of the slots free, so that a request which may use the
# reserve starts at once; waits alone would show a full engine only after the target is missed.
FULL_SHARE = 0.9
FULL_FACTOR = 0.9
# Without free places a small organisation waits until some answer ends, which takes longer than
# the first-token target.
RESERVE_SHARE = 0.15


class _Window:
    def __init__(self, size: float) -> None:
        self.size = size
        self.in_flight = 0
        self.in_flight_by_class: collections.Counter[str] = collections.Counter()
        self.shrunk_at = -math.inf
        self.full = False


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
        limit = max(MIN_WINDOW, window.size * rule_of(traffic_class).window_share)
        return (
            window.in_flight + 1 <= window.size
            and window.in_flight_by_class[traffic_class] + 1 <= limit
        )

    def introduce(self, engine: str, size: float) -> None:
        """Sets the first size for an engine that is not known yet.

        :param engine: instance.
        :param size: about its slots divided by the entries using it.
        """
        if engine not in self._windows_by_engine:
            self._windows_by_engine[engine] = _Window(min(MAX_WINDOW, max(self._initial, size)))

    def reserve_only(self, engines: Iterable[str]) -> bool:
        """Tells whether only the reserve for underserved organisations is left.

        :param engines: instances that this entry uses.
        """
        windows = [self._window(engine) for engine in engines]
        free = sum(max(0, int(window.size) - window.in_flight) for window in windows)
        return free <= RESERVE_SHARE * sum(window.size for window in windows)

    def started(self, engine: str, traffic_class: str = 'chat') -> None:
        """Notes a request that was sent.

        :param engine: instance.
        :param traffic_class: chat, quick or review.
        """
        window = self._window(engine)
        window.in_flight += 1
        window.in_flight_by_class[traffic_class] += 1

    def first_token(self, engine: str, wait_s: float, target_s: float, now: float) -> None:
        """Adapts the window to an observed time to the first token.

        :param engine: instance.
        :param wait_s: from sending to the first token, less the time to read an uncached prompt.
        :param target_s: setting `first_token_ms`, in seconds.
        :param now: monotonic seconds.
        """
        window = self._window(engine)
        if wait_s > SHRINK_ABOVE * target_s:
            if now - window.shrunk_at >= target_s:
                window.size = max(MIN_WINDOW, window.size * SHRINK_FACTOR)
                window.shrunk_at = now
        elif (
            wait_s < GROW_BELOW * target_s
            and window.in_flight + 1 > window.size
            and not window.full
        ):
            window.size = min(MAX_WINDOW, window.size + 1 / window.size)

    def reported(self, engine: str, report: LoadReport) -> None:
        """Adapts the window to a new load report: an engine near its slots gets less.

        :param engine: instance.
        :param report: load, of all entries together.
        """
        window = self._window(engine)
        window.full = report.running + report.queued >= FULL_SHARE * report.slots
        if window.full:
            window.size = max(MIN_WINDOW, window.size * FULL_FACTOR)

    def finished(self, engine: str, traffic_class: str = 'chat') -> None:
        """Notes the end of a request.

        :param engine: instance.
        :param traffic_class: the same as given to `started`.
        """
        window = self._window(engine)
        if window.in_flight_by_class[traffic_class]:
            window.in_flight -= 1
            window.in_flight_by_class[traffic_class] -= 1

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
