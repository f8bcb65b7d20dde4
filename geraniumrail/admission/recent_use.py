"""What organisations and routes have asked and got recently."""

import math

from geraniumrail.admission.ask import Ask
from geraniumrail.admission.decayed_counts import DecayedCounts

USE_DECAY_S = 3.0
ACTIVE = 0.1  # an organisation counts while so much of its requests is left
AHEAD = 1.25  # times an equal part of the use
RANK_REQUESTS = 1.0  # one rank outweighs so many requests that were served more
RECOUNT_S = 0.1


class RecentUse:
    """Orders waiting requests: by rank and by what was served recently, then by time left."""

    def __init__(self) -> None:
        """Starts empty."""
        self._asked = DecayedCounts(USE_DECAY_S)  # by organisation
        self._served = DecayedCounts(USE_DECAY_S)  # by organisation
        self._served_by_route = DecayedCounts(USE_DECAY_S)
        self._equal_part = math.inf  # of the use; infinite for a single organisation
        self._recounted_at = -math.inf

    def asked(self, ask: Ask, now: float) -> None:
        """Counts a request when it arrives.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        self._asked.add(ask.organisation, now)
        if now - self._recounted_at >= RECOUNT_S:
            self._recount(now)

    def served(self, ask: Ask, now: float) -> None:
        """Counts a request that has got a place.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        self._served.add(ask.organisation, now)
        self._served_by_route.add(ask.route, now)

    def order(self, ask: Ask, now: float) -> tuple[float, float]:
        """Returns the key by which waiting requests are sorted; the lowest goes first.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        served = self._served.value(ask.organisation, now)
        by_route = self._served_by_route.value(ask.route, now)
        return (served + by_route + RANK_REQUESTS * ask.rank, ask.due_at)

    def is_ahead(self, ask: Ask, now: float) -> bool:
        """Returns whether its organisation has used clearly more than an equal part.

        :param ask: the request.
        :param now: monotonic seconds.
        """
        return self._served.value(ask.organisation, now) > AHEAD * self._equal_part

    def _recount(self, now: float) -> None:
        self._recounted_at = now
        for counts in (self._asked, self._served, self._served_by_route):
            counts.drop_below(ACTIVE, now)
        self._equal_part = math.inf
        if len(self._asked) > 1:
            self._equal_part = self._served.total(now) / len(self._asked)
