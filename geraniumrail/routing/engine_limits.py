"""The requests a second that backend servers say they take, as one entry knows and obeys them."""

import dataclasses
from collections.abc import Callable

from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.routing import events
from geraniumrail.routing.named_limit import NamedLimit

# Requests that an entry may send at once after a pause.
BURST = 1.0
# An entry repeats to a new leader what it heard so long ago.
MEMORY_S = 120.0


@dataclasses.dataclass
class _Bucket:
    saved: float
    filled_at: float
    per_s: float

    def fill(self, now: float) -> float:
        """Returns the requests that may be sent now."""
        grown = self.saved + max(0, now - self.filled_at) * self.per_s
        self.saved = min(BURST, grown)
        self.filled_at = now
        return self.saved


class EngineLimits:
    """Obeys the rates that the control leader allots to this entry.

    A limit that only this entry has heard of is divided by the number of entries until the leader
    allots it.
    """

    def __init__(self) -> None:
        """Starts without limits."""
        self.on_news: Callable[[], None] = _ignore
        self.entries = 1
        self._said_by_instance: dict[str, tuple[NamedLimit, float]] = {}
        self._unsent: dict[str, None] = {}
        self._allotted_by_instance: dict[str, float] = {}
        self._buckets_by_instance: dict[str, _Bucket] = {}

    @property
    def limited(self) -> frozenset[str]:
        """Instances that have a limit."""
        return frozenset(self._buckets_by_instance)

    def named(self, backend: Backend, per_s: float | None, now: float) -> None:
        """Takes the limit that came with an answer.

        :param backend: which answered.
        :param per_s: requests a second from all entries together; None: no limit.
        :param now: monotonic seconds.
        """
        said = self._said_by_instance.get(backend.instance)
        known = None if said is None else said[0].per_s
        is_limited = backend.instance in self._buckets_by_instance
        limit = NamedLimit(instance=backend.instance, per_s=per_s)
        if per_s is not None or is_limited or known is not None:
            self._said_by_instance[backend.instance] = (limit, now)
        if per_s == known and is_limited == (per_s is not None):
            return
        log(events.LIMIT_NAMED, backend=backend.instance, service=backend.service, per_s=per_s)
        if per_s is None:
            self._allotted_by_instance.pop(backend.instance, None)
        self._set_rates(now)
        self._unsent[backend.instance] = None
        self.on_news()

    def take_allotted(self, rates_by_instance: dict[str, float] | None, now: float) -> None:
        """Takes the rates that this entry may use of each limited backend server.

        :param rates_by_instance: requests a second; None: unchanged.
        :param now: monotonic seconds.
        """
        if rates_by_instance is not None and rates_by_instance != self._allotted_by_instance:
            # What the leader has dropped has ended, unless this entry has yet to tell it otherwise.
            ended = (
                self._allotted_by_instance.keys() - rates_by_instance.keys() - self._unsent.keys()
            )
            for instance in ended:
                self._said_by_instance.pop(instance, None)
            self._allotted_by_instance = dict(rates_by_instance)
            self._set_rates(now)

    def is_open(self, instance: str, now: float) -> bool:
        """Returns whether this entry may send a request to a backend server now.

        :param instance: the backend server.
        :param now: monotonic seconds.
        """
        bucket = self._buckets_by_instance.get(instance)
        return bucket is None or bucket.fill(now) >= 1

    def take(self, instance: str, now: float) -> None:
        """Counts a request that is sent.

        :param instance: the backend server.
        :param now: monotonic seconds.
        """
        bucket = self._buckets_by_instance.get(instance)
        if bucket is not None:
            bucket.fill(now)
            bucket.saved -= 1

    def opens_in_s(self, instance: str, now: float) -> float:
        """Returns the seconds until a backend server takes a request from this entry.

        :param instance: the backend server.
        :param now: monotonic seconds.
        """
        bucket = self._buckets_by_instance.get(instance)
        if bucket is None:
            return 0
        missing = max(0, 1 - bucket.fill(now))
        return missing / bucket.per_s if bucket.per_s > 0 else MEMORY_S

    def report(self, now: float) -> tuple[NamedLimit, ...]:
        """Returns what the control leader has not been told.

        :param now: monotonic seconds.
        """
        unsent = [instance for instance in self._unsent if instance in self._said_by_instance]
        self._unsent = {}
        said = (self._said_by_instance[instance] for instance in unsent)
        return tuple(dataclasses.replace(limit, age_s=round(now - at, 3)) for limit, at in said)

    def requeue_all(self, now: float) -> None:
        """Reports everything again: a new leader knows no limits.

        :param now: monotonic seconds.
        """
        self._said_by_instance = {
            instance: (limit, at)
            for instance, (limit, at) in self._said_by_instance.items()
            if now - at < MEMORY_S
        }
        self._unsent = dict.fromkeys(self._said_by_instance)

    def _set_rates(self, now: float) -> None:
        rates = {
            limit.instance: limit.per_s / max(1, self.entries)
            for limit, _ in self._said_by_instance.values()
            if limit.per_s is not None
        }
        rates.update(self._allotted_by_instance)
        self._buckets_by_instance = {
            instance: self._bucket(instance, per_s, now) for instance, per_s in rates.items()
        }

    def _bucket(self, instance: str, per_s: float, now: float) -> _Bucket:
        # An entry that is allotted nothing must not use up what it could save before.
        saved = BURST if per_s > 0 else 0
        known = self._buckets_by_instance.get(instance)
        if known is not None:
            saved = min(saved, known.fill(now))
        return _Bucket(saved, now, per_s)


def _ignore() -> None:
    """Stands in until the entry has a link to the control leader."""
