"""The limits of the backend servers of one service."""

import dataclasses
import math
from collections.abc import Callable

from geraniumrail.admission.server_limit import LEAST_PER_S, ServerLimit
from geraniumrail.core.clock import Clock

FORGOTTEN_S = 60.0  # after a backend server was last heard of


@dataclasses.dataclass(frozen=True)
class Outlook:
    """Places of some backend servers, now and later."""

    level: float
    rate_per_s: float

    def wait_s(self, ahead: float) -> float:
        """Returns the seconds until there is a place.

        :param ahead: requests that go first, and places that are kept free.
        """
        return max(0, 1 + ahead - self.level) / max(LEAST_PER_S, self.rate_per_s)


class ServerLimits:
    """Made when a backend server is first heard of; forgotten some time after the last answer."""

    def __init__(self, clock: Clock, entries: Callable[[], int]) -> None:
        """Starts without limits.

        :param clock: time.
        :param entries: returns the number of entries that may send to the service.
        """
        self.by_instance: dict[str, ServerLimit] = {}
        self.entries = entries
        self._clock = clock

    def limit(self, instance: str) -> ServerLimit:
        """Returns the limit of a backend server.

        :param instance: the backend server.
        """
        limit = self.by_instance.get(instance)
        if limit is None:
            now = self._clock.now()
            self.by_instance = {
                name: each
                for name, each in self.by_instance.items()
                if now - each.used_at < FORGOTTEN_S
            }
            limit = ServerLimit(now)
            self.by_instance[instance] = limit
        return limit

    def unlimited(self, instances: frozenset[str]) -> frozenset[str]:
        """Returns the backend servers that are not limited now.

        :param instances: some backend servers.
        """
        found = ((each, self.by_instance.get(each)) for each in instances)
        return frozenset(each for each, limit in found if limit is None or not limit.is_limited)

    def open_instances(self) -> frozenset[str]:
        """Returns the backend servers at which there is a place, if none is kept free."""
        found = self.by_instance.items()
        return frozenset(instance for instance, limit in found if limit.has_place(0))

    def free(self, instances: frozenset[str], kept: float) -> frozenset[str]:
        """Returns the backend servers at which there is a place.

        :param instances: some backend servers.
        :param kept: places at each that are kept free.
        """
        return frozenset(each for each in instances if self.limit(each).has_place(kept))

    def outlook(self, instances: frozenset[str]) -> Outlook:
        """Returns how soon there are places at some backend servers together.

        :param instances: the backend servers.
        """
        limits = [self.limit(each) for each in instances]
        return Outlook(
            level=sum(each.level for each in limits),
            rate_per_s=sum(each.rate_per_s for each in limits),
        )

    def next_place_s(self) -> float:
        """Returns the seconds until some backend server has one place more."""
        limited = (limit for limit in self.by_instance.values() if limit.is_limited)
        return min((limit.next_place_s for limit in limited), default=math.inf)

    def expected_s(self, instances: frozenset[str]) -> float:
        """Returns the time that a request takes at the one that answers soonest.

        :param instances: the backend servers.
        """
        return min(self.limit(each).expected_s for each in instances)

    def fullest_bucket(self, instances: frozenset[str]) -> str:
        """Returns the backend server with the most free places.

        :param instances: the backend servers.
        """
        return max(instances, key=lambda instance: self.limit(instance).level)

    def refill(self, now: float) -> None:
        """Adds what has accrued at all backend servers.

        :param now: monotonic seconds.
        """
        entries = self.entries()
        for limit in self.by_instance.values():
            limit.refill(entries, now)
