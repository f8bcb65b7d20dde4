"""Limits the requests that an entry has in flight at each engine."""

import collections
import math
from collections.abc import Iterable

from geraniumrail.core.load_report import LoadReport
from geraniumrail.fairness.traffic_classes import rule_of

MIN_WINDOW_REQUESTS = 1.0
MAX_WINDOW_REQUESTS = 64.0
# Shares of the target for the time to the first token. One request more than an engine has slots
# waits about as long as the target, so the window must shrink well before the target is missed.
GROW_BELOW_SHARE = 0.25
SHRINK_ABOVE_SHARE = 0.5
SHRINK_FACTOR = 0.8
# All entries together leave about a tenth of an engine's slots free, so that a request that may use
# the reserve starts at once. The times to the first token alone would show a full engine only after
# the target is missed.
FULL_SLOTS_SHARE = 0.9
FULL_SHRINK_FACTOR = 0.9
# Share of the windows kept for underserved organisations. Without it they would wait until an
# answer ends, which takes longer than the first-token target.
RESERVE_SHARE = 0.15


class _Window:
    def __init__(self, size: float) -> None:
        self.size = size
        self.in_flight = 0
        self.in_flight_by_class: collections.Counter[str] = collections.Counter()
        self.shrunk_at = -math.inf
        self.full = False


class EngineWindow:
    """Keeps the queues inside engines short, so that the fair queue decides the order.

    The size of a window follows the time to the first token: it grows by about one request for each
    full window of answers in time and shrinks at most once in each target period.
    """

    def __init__(self, initial: float = 4) -> None:
        """Starts without engines.

        :param initial: first size of a window, in requests; `add` may set a larger one.
        """
        self._initial = max(MIN_WINDOW_REQUESTS, initial)
        self._windows_by_engine: dict[str, _Window] = {}

    def allows(self, engine: str, traffic_class: str) -> bool:
        """Returns whether one more request may be sent.

        :param engine: instance.
        :param traffic_class: chat, quick or review; reviews may fill only a part of the window.
        """
        window = self._window(engine)
        limit = max(MIN_WINDOW_REQUESTS, window.size * rule_of(traffic_class).window_share)
        return (
            window.in_flight + 1 <= window.size
            and window.in_flight_by_class[traffic_class] + 1 <= limit
        )

    def add(self, engine: str, size: float) -> None:
        """Sets the first size of an engine's window, unless it has one.

        :param engine: instance.
        :param size: first size, about its slots divided by the number of entries that use it.
        """
        if engine not in self._windows_by_engine:
            self._windows_by_engine[engine] = _Window(
                min(MAX_WINDOW_REQUESTS, max(self._initial, size))
            )

    def reserve_only(self, engines: Iterable[str]) -> bool:
        """Returns whether only the reserve for underserved organisations is left.

        :param engines: instances that this entry uses.
        """
        windows = [self._window(engine) for engine in engines]
        free = sum(max(0, int(window.size) - window.in_flight) for window in windows)
        return free <= RESERVE_SHARE * sum(window.size for window in windows)

    def record_sent(self, engine: str, traffic_class: str = 'chat') -> None:
        """Records a sent request.

        :param engine: instance.
        :param traffic_class: chat, quick or review.
        """
        window = self._window(engine)
        window.in_flight += 1
        window.in_flight_by_class[traffic_class] += 1

    def record_first_token(self, engine: str, wait_s: float, target_s: float, now: float) -> None:
        """Adjusts the window to a measured time to the first token.

        :param engine: instance.
        :param wait_s: from sending to the first token, less the prefill time of uncached tokens.
        :param target_s: setting `first_token_ms`, in seconds.
        :param now: monotonic seconds.
        """
        window = self._window(engine)
        if wait_s > SHRINK_ABOVE_SHARE * target_s:
            if now - window.shrunk_at >= target_s:
                window.size = max(MIN_WINDOW_REQUESTS, window.size * SHRINK_FACTOR)
                window.shrunk_at = now
        elif (
            wait_s < GROW_BELOW_SHARE * target_s
            and window.in_flight + 1 > window.size
            and not window.full
        ):
            window.size = min(MAX_WINDOW_REQUESTS, window.size + 1 / window.size)

    def record_load(self, engine: str, report: LoadReport) -> None:
        """Adjusts the window to a load report: it shrinks if nearly all slots are used.

        :param engine: instance.
        :param report: load by all entries together.
        """
        window = self._window(engine)
        window.full = report.running + report.queued >= FULL_SLOTS_SHARE * report.slots
        if window.full:
            window.size = max(MIN_WINDOW_REQUESTS, window.size * FULL_SHRINK_FACTOR)

    def record_finished(self, engine: str, traffic_class: str = 'chat') -> None:
        """Records the end of a request.

        :param engine: instance.
        :param traffic_class: the same as given to `record_sent`.
        """
        window = self._window(engine)
        if window.in_flight_by_class[traffic_class]:
            window.in_flight -= 1
            window.in_flight_by_class[traffic_class] -= 1

    def remove(self, engine: str) -> None:
        """Removes an engine that is gone.

        :param engine: instance.
        """
        self._windows_by_engine.pop(engine, None)

    def in_flight(self, engine: str) -> int:
        """Returns the number of requests in flight at an engine.

        :param engine: instance.
        """
        return self._window(engine).in_flight

    def size(self, engine: str) -> float:
        """Returns the size of an engine's window, in requests.

        :param engine: instance.
        """
        return self._window(engine).size

    def _window(self, engine: str) -> _Window:
        window = self._windows_by_engine.get(engine)
        if window is None:
            window = _Window(self._initial)
            self._windows_by_engine[engine] = window
        return window
