"""What organisations and routes have asked and got recently."""

import math

from geraniumrail.admission.ask import Ask
from geraniumrail.admission.decayed_count import DecayedCount

USE_DECAY_S = 3.0
ACTIVE = 0.1  # an organisation counts while so much of its requests is left
AHEAD = 1.25  # times an equal part of the use
RANK_REQUESTS = 1.0  # one rank outweighs so many requests that were served more
RECOUNT_S = 0.1


class RecentUse:
    """Orders waiting requests: by rank and by what was served recently, then by time left."""

    def __init__(self) -> None:
        """Starts empty."""
        self._asked: dict[str, DecayedCount] = {}  # by organisation
        self._served: dict[str, DecayedCount] = {}  # by organisation
        self._served_by_route: dict[str, DecayedCount] = {}
        self._equal_part = math.inf  # of the use; infinite for a single organisation
        self._recounted_at = -math.inf

    def asked(self, ask: Ask, now: float) -> None:
        """Counts a request when it arrives.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        _add(self._asked, ask.organisation, now)
        if now - self._recounted_at >= RECOUNT_S:
            self._recount(now)

    def served(self, ask: Ask, now: float) -> None:
        """Counts a request that has got a place.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        _add(self._served, ask.organisation, now)
        _add(self._served_by_route, ask.route, now)

    def order(self, ask: Ask, now: float) -> tuple[float, float]:
        """Returns the key by which waiting requests are sorted; the lowest goes first.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        served = _value(self._served, ask.organisation, now)
        by_route = _value(self._served_by_route, ask.route, now)
        return (served + by_route + RANK_REQUESTS * ask.rank, ask.due_at)

    def is_ahead(self, ask: Ask, now: float) -> bool:
        """Returns whether its organisation has used clearly more than an equal part.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        return _value(self._served, ask.organisation, now) > AHEAD * self._equal_part

    def _recount(self, now: float) -> None:
        self._recounted_at = now
        self._asked = _active(self._asked, now)
        self._served = _active(self._served, now)
        self._served_by_route = _active(self._served_by_route, now)
        self._equal_part = math.inf
        if len(self._asked) > 1:
            used = sum(count.value(now) for count in self._served.values())
            self._equal_part = used / len(self._asked)


def _active(counts: dict[str, DecayedCount], now: float) -> dict[str, DecayedCount]:
    return {name: count for name, count in counts.items() if count.value(now) > ACTIVE}


def _add(counts: dict[str, DecayedCount], name: str, now: float) -> None:
    counts.setdefault(name, DecayedCount(USE_DECAY_S)).add(1, now)


def _value(counts: dict[str, DecayedCount], name: str, now: float) -> float:
    count = counts.get(name)
    return 0 if count is None else count.value(now)
