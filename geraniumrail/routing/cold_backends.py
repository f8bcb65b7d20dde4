"""What one entry may send to cold backend servers, and to those that have just turned warm.

Load pattern: servers that start under traffic, even all of a data centre at once, tolerate a few
requests a second for some seconds, and look idle to all entries when they turn warm.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.routing import events

# Requests that an entry may send at once after a pause.
BURST = 1.0
# A server that has turned warm is a candidate for a share of the requests that rises to 1 within
# this time, in which its load reports begin to show what it is sent.
RAMP_S = 0.5
FIRST_SHARE = 0.1
# An entry without a rate is told within this time that the server is warm, or gets a rate.
TOLD_S = 0.5
# A rate of the leader that says: cold, keep what an earlier leader gave.
KEEP = -1.0
# Announcements and answers name the end of the cold time with an error below this.
SHIFT_S = 0.2
# Sums of fractions of a request differ from a whole one by less than this.
_ROUNDING = 1e-9


@dataclasses.dataclass
class _Bucket:
    saved: float
    filled_at: float
    per_s: float

    def fill(self, now: float) -> float:
        """Returns the requests that may be sent now."""
        grown = self.saved + max(0, now - self.filled_at) * self.per_s
        self.saved = min(BURST, grown)
        self.filled_at = max(now, self.filled_at)
        return self.saved


@dataclasses.dataclass(frozen=True)
class _Announced:
    freshness: tuple[int, int]
    ends_at: float


class ColdBackends:
    """Cold backend servers, and the rates that the control leader has given to this entry.

    Invariant: without a rate that is in force nothing is sent to a server known to be cold.
    """

    def __init__(self) -> None:
        """Starts without services that have cold backend servers."""
        self.on_news: Callable[[], None] = _ignore
        self._per_s_by_service: dict[str, float] = {}
        self._announced_by_instance: dict[str, _Announced] = {}
        self._ended_at_by_instance: dict[str, float] = {}  # by answers, and by the leader
        self._told: frozenset[str] = frozenset()  # cold by the leader whose rates these are
        self._kept: frozenset[str] = frozenset()  # cold by a leader that may not allot yet
        self._buckets_by_instance: dict[str, _Bucket] = {}
        self._term = 0  # whose rates these are
        self._rates_until: float = -math.inf
        self._unsent: dict[str, None] = {}

    def follow(self, services: Iterable[ServiceSpec]) -> None:
        """Takes the services of the configuration in force.

        :param services: those with `cold_per_s` above 0 are concerned.
        """
        self._per_s_by_service = {
            service.name: service.cold_per_s for service in services if service.cold_per_s > 0
        }

    def observe(self, backend: Backend, now: float) -> None:
        """Takes a whole announcement; load rows don't say whether a server is cold.

        :param backend: the announcement.
        :param now: monotonic seconds.
        """
        known = self._announced_by_instance.get(backend.instance)
        if known is None and backend.cold_s <= 0:
            return
        ends_at = now + backend.cold_s
        if known is not None:
            if backend.freshness < known.freshness:
                return
            if backend.freshness == known.freshness or backend.cold_s <= 0:
                # The same one by another way, or the cold time is over.
                ends_at = min(ends_at, known.ends_at)
        self._announced_by_instance[backend.instance] = _Announced(backend.freshness, ends_at)

    def answered(self, backend: Backend, cold_s: float | None, now: float) -> None:
        """Takes what an answer says, which may precede the announcement by seconds.

        :param backend: which answered.
        :param cold_s: for which it is still cold; None: it does not say.
        :param now: monotonic seconds.
        """
        if not cold_s or backend.service not in self._per_s_by_service:
            return
        is_news = now + cold_s > self._ends_at(backend.instance) + SHIFT_S
        self._end_not_before(backend.instance, now + cold_s)
        if is_news:
            log(
                events.COLD_NAMED,
                backend=backend.instance,
                service=backend.service,
                left_s=round(cold_s, 3),
            )
            self._unsent[backend.instance] = None
            self.on_news()

    def take_rates(
        self,
        rates_by_instance: Mapping[str, float] | None,
        term: int,
        lease_until: float,
        now: float,
    ) -> None:
        """Takes what an update says of cold backend servers.

        :param rates_by_instance: requests a second by cold server; `KEEP`: the leader may not allot
            yet; None: unchanged.
        :param term: of the leader.
        :param lease_until: end of the lease that the update gives, monotonic seconds.
        :param now: monotonic seconds.
        """
        self._forget_ended(now)
        if rates_by_instance is None:
            if term == self._term:
                self._rates_until = max(self._rates_until, lease_until)
        elif KEEP in rates_by_instance.values():
            self._kept = frozenset(rates_by_instance)
        else:
            for instance in (self._told | self._kept) - rates_by_instance.keys():
                self._end_not_before(instance, now)
            self._told = frozenset(rates_by_instance)
            self._kept = frozenset()
            self._set_rates(rates_by_instance, term, lease_until, now)

    def is_cold(self, backend: Backend, now: float) -> bool:
        """Returns whether a backend server is known to be cold.

        :param backend: the backend server.
        :param now: monotonic seconds.
        """
        # Asked of each server for each request; mostly none is or was cold.
        if not (
            self._announced_by_instance or self._ended_at_by_instance or self._told or self._kept
        ):
            return False
        if backend.service not in self._per_s_by_service:
            return False
        ends_at = self._ends_at(backend.instance)
        if now < ends_at or backend.instance in self._kept:
            return True
        # What an earlier leader said lapses with its rates if the end of the cold time is known.
        is_in_force = now < self._rates_until or ends_at == -math.inf
        return backend.instance in self._told and is_in_force

    def is_open(self, backend: Backend, now: float) -> bool:
        """Returns whether this entry may send a request to a backend server now.

        :param backend: the backend server.
        :param now: monotonic seconds.
        """
        if not self.is_cold(backend, now):
            return True
        bucket = self._bucket(backend.instance, now)
        return bucket is not None and bucket.fill(now) >= 1 - _ROUNDING

    def take(self, instance: str, now: float) -> None:
        """Counts a request that is sent.

        :param instance: the backend server.
        :param now: monotonic seconds.
        """
        bucket = self._buckets_by_instance.get(instance)
        if bucket is not None:
            bucket.fill(now)
            bucket.saved -= 1

    def opens_in_s(self, backend: Backend, now: float) -> float:
        """Returns the seconds until a backend server takes a request from this entry.

        :param backend: the backend server.
        :param now: monotonic seconds.
        """
        if not self.is_cold(backend, now):
            return 0
        left_s = self._ends_at(backend.instance) - now
        if left_s <= 0:
            left_s = TOLD_S
        bucket = self._bucket(backend.instance, now)
        if bucket is None:
            return left_s
        return min(left_s, max(0, 1 - bucket.fill(now)) / bucket.per_s)

    def drawn(self, usable: Sequence[Backend], rng: random.Random, now: float) -> Sequence[Backend]:
        """Leaves out servers that have just turned warm, for a part of the requests.

        :param usable: those that may be chosen.
        :param rng: source of the draws.
        :param now: monotonic seconds.
        :returns: all of them if none would be left.
        """
        if not self._per_s_by_service:
            return usable
        known = dict.fromkeys((*self._announced_by_instance, *self._ended_at_by_instance))
        held_back = {
            instance
            for instance in known
            if rng.random() >= max(FIRST_SHARE, self._share_since_end(instance, now))
        }
        if not held_back:
            return usable
        return [
            each for each in usable if each.instance not in held_back or self.is_cold(each, now)
        ] or usable

    def report(self, now: float) -> dict[str, float]:
        """Returns the seconds for which servers are cold that the leader has not been told of.

        :param now: monotonic seconds.
        """
        unsent = self._unsent
        self._unsent = {}
        left = {instance: self._ends_at(instance) - now for instance in unsent}
        return {instance: round(left_s, 3) for instance, left_s in left.items() if left_s > 0}

    def requeue_all(self, now: float) -> None:
        """Reports again what answers have said: a new leader has not heard of it.

        :param now: monotonic seconds.
        """
        self._unsent = {
            instance: None
            for instance, ends_at in self._ended_at_by_instance.items()
            if ends_at > now
        }

    def _set_rates(
        self, rates_by_instance: Mapping[str, float], term: int, lease_until: float, now: float
    ) -> None:
        self._buckets_by_instance = {
            instance: _Bucket(self._saved(instance, now), now, per_s)
            for instance, per_s in rates_by_instance.items()
            if per_s > 0
        }
        self._term = term
        self._rates_until = lease_until

    def _saved(self, instance: str, now: float) -> float:
        # A new rate may follow that of an entry that has just ended, so it begins with nothing.
        bucket = self._bucket(instance, now)
        return 0 if bucket is None else bucket.fill(now)

    def _bucket(self, instance: str, now: float) -> _Bucket | None:
        if now >= self._rates_until:
            return None
        return self._buckets_by_instance.get(instance)

    def _share_since_end(self, instance: str, now: float) -> float:
        """Returns the time since the end of the cold time, in parts of `RAMP_S`."""
        return (now - self._ends_at(instance)) / RAMP_S

    def _ends_at(self, instance: str) -> float:
        announced = self._announced_by_instance.get(instance)
        ended_at = self._ended_at_by_instance.get(instance, -math.inf)
        return ended_at if announced is None else max(ended_at, announced.ends_at)

    def _end_not_before(self, instance: str, ends_at: float) -> None:
        known = self._ended_at_by_instance.get(instance, -math.inf)
        self._ended_at_by_instance[instance] = max(known, ends_at)

    def _forget_ended(self, now: float) -> None:
        over = now - RAMP_S
        self._announced_by_instance = {
            instance: announced
            for instance, announced in self._announced_by_instance.items()
            if announced.ends_at > over or instance in self._told
        }
        self._ended_at_by_instance = {
            instance: ended_at
            for instance, ended_at in self._ended_at_by_instance.items()
            if ended_at > over or instance in self._told
        }


def _ignore() -> None:
    """Stands in until the entry has a link to the control leader."""
