"""How large the answers of each route have been lately."""

WINDOW_S = 60.0


class AnswerSizes:
    """The largest whole answer of each route in the last one to two minutes.

    Load pattern: large answers of one route wait for slow callers; requests of other routes, whose
    answers are small, need not be refused for lack of room.
    """

    def __init__(self) -> None:
        """Starts without knowledge."""
        self._window = 0
        self._current: dict[str, int] = {}  # by route
        self._previous: dict[str, int] = {}

    def record(self, route: str, size: int, now: float) -> None:
        """Records a whole answer.

        :param route: name of the route.
        :param size: bytes.
        :param now: monotonic seconds.
        """
        self._advance(now)
        self._current[route] = max(size, self._current.get(route, 0))

    def largest(self, route: str, now: float) -> int | None:
        """Returns the size of the largest answer, or None if there was none.

        :param route: name of the route.
        :param now: monotonic seconds.
        """
        self._advance(now)
        known = [each[route] for each in (self._current, self._previous) if route in each]
        return max(known, default=None)

    def _advance(self, now: float) -> None:
        window = int(now / WINDOW_S)
        if window != self._window:
            self._previous = self._current if window == self._window + 1 else {}
            self._current = {}
            self._window = window
