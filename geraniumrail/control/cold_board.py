"""Gives the entries rates for cold backend servers: soft state of the leader.

Load pattern: a data centre returns cold in the middle of a burst, beside entries that start, end,
freeze or are cut off. All of them together must stay within what a cold server tolerates.
"""

import dataclasses
import functools
import heapq
import math
from collections.abc import Iterable, Mapping, Set

from geraniumrail.control import events
from geraniumrail.control.backend_registry import RegisteredBackend
from geraniumrail.control.entry_leases import LEASE_MARGIN_S, LEASE_S
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.deployment.service import ServiceSpec
from geraniumrail.routing.cold_backends import BURST, KEEP
from geraniumrail.routing.rendezvous import rank

# Sums of rates differ from the whole by less than this.
_ROUNDING = 1e-6
# Within this time entries have heard of a change, or their leases have expired.
HEARD_S = LEASE_S + LEASE_MARGIN_S


@dataclasses.dataclass(frozen=True)
class ColdTolerance:
    """A cold server may get its rate times `overage`, plus `slack`, in one second."""

    overage: float = 1
    slack: float = 0


@dataclasses.dataclass(frozen=True)
class Allowance:
    """What the entries together may send to one cold server.

    Invariant: each of `entries` may save up `BURST` requests, and the sum stays within the bound
    in any second.
    """

    per_s: float
    entries: int

    @classmethod
    def from_tolerance(cls, cold_per_s: float, tolerance: ColdTolerance) -> 'Allowance':
        """Divides the bound between rates and saved-up requests.

        :param cold_per_s: what the server takes.
        :param tolerance: by which it may be exceeded.
        """
        bound = cold_per_s * tolerance.overage + tolerance.slack
        entries = max(1, int((bound - cold_per_s) / BURST + _ROUNDING))
        return cls(min(cold_per_s, max(0, bound - entries * BURST)), entries)


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the leader knows at one moment, besides what entries say of cold servers."""

    registered: Mapping[str, RegisteredBackend]
    services: Iterable[ServiceSpec]
    leased: Set[str]  # entries that may still send
    serving: tuple[str, ...]  # entries that callers are sent to
    may_allot: bool  # no entry holds rates of an earlier leader any more


@dataclasses.dataclass(frozen=True)
class _Assumed:
    since: float
    until: float


class ColdBoard:
    """The cold backend servers, and the rates that entries hold.

    Invariant: the rates that entries may use for a server sum to at most its allowance. A rate is
    held until the lease of its entry has expired, or, once the server is warm, for as long as an
    entry could not have heard of it.
    """

    def __init__(self) -> None:
        """Starts without cold servers."""
        self.tolerance = ColdTolerance()
        self.became_leader()

    def became_leader(self) -> None:
        """Drops everything: it may be stale."""
        self._may_allot = False
        self._answered_until_by_instance: dict[str, float] = {}
        self._assumed_by_data_centre: dict[str, _Assumed] = {}
        self._cold: dict[str, str] = {}  # service by instance
        self._warm_since_by_instance: dict[str, float] = {}
        self._rates_by_instance: dict[str, dict[str, float]] = {}

    def assume_cold(
        self, data_centre: str, until: float, now: float, since: float | None = None
    ) -> None:
        """Treats the servers of a data centre as cold that have not announced themselves since.

        It is in the memory of this leader; the next one has to be told again.

        :param data_centre: only services with `cold_per_s` above 0 are concerned.
        :param until: monotonic seconds; an announcement received after `now` ends it earlier.
        :param now: monotonic seconds.
        :param since: announcements received until then don't end it; None: `now`.
        """
        known = self._assumed_by_data_centre.get(data_centre)
        if known is not None and known.until >= until:
            return
        self._assumed_by_data_centre[data_centre] = _Assumed(now if since is None else since, until)
        log(events.COLD_ASSUMED, data_centre=data_centre, for_s=round(until - now, 3))

    def observe(self, cold_s_by_instance: Mapping[str, float], now: float) -> bool:
        """Takes what answers have told an entry; returns whether that is news.

        :param cold_s_by_instance: seconds for which servers are still cold.
        :param now: monotonic seconds.
        """
        for instance, cold_s in cold_s_by_instance.items():
            known = self._answered_until_by_instance.get(instance, -math.inf)
            self._answered_until_by_instance[instance] = max(known, now + cold_s)
        return not cold_s_by_instance.keys() <= self._cold.keys()

    def refresh(self, situation: Situation, now: float) -> bool:
        """Finds the cold servers and gives the rates; returns whether anything has changed.

        :param situation: what the leader knows.
        :param now: monotonic seconds.
        """
        before = (self._may_allot, self._cold, self._rates_by_instance)
        per_s_by_service = {
            service.name: service.cold_per_s
            for service in situation.services
            if service.cold_per_s > 0
        }
        self._forget_old(now)
        cold = {
            instance: registered.backend.service
            for instance, registered in situation.registered.items()
            if registered.backend.service in per_s_by_service and self._is_cold(registered, now)
        }
        for instance in self._cold.keys() - cold.keys():
            self._warm_since_by_instance[instance] = now
            log(events.COLD_ENDED, instance=instance, service=self._cold[instance])
        self._cold = cold
        self._may_allot = situation.may_allot
        self._rates_by_instance = self._held(situation, now)
        if situation.may_allot:
            for instance, service in cold.items():
                self._allot(instance, service, per_s_by_service[service], situation.serving)
        return before != (self._may_allot, self._cold, self._rates_by_instance)

    def rates(self, entry: str) -> dict[str, float] | None:
        """Returns what an entry may send to each cold server, in requests a second.

        :param entry: id of the entry.
        :returns: `KEEP` for each while rates of an earlier leader may be in use; None: unchanged.
        """
        if not self._may_allot:
            return dict.fromkeys(self._cold, KEEP) or None
        return {
            instance: self._rates_by_instance.get(instance, {}).get(entry, 0)
            for instance in self._cold
        }

    def concerns(self, announced: Iterable[Backend]) -> bool:
        """Returns whether announcements may change which servers are cold.

        Other announcements need no refresh; hundreds of them arrive at a new leader.

        :param announced: announcements.
        """
        return any(each.cold_s > 0 or each.instance in self._cold for each in announced)

    def is_cold(self, instance: str) -> bool:
        """Returns whether a server counts as cold.

        :param instance: the server.
        """
        return instance in self._cold

    def _is_cold(self, registered: RegisteredBackend, now: float) -> bool:
        answered_until = self._answered_until_by_instance.get(
            registered.backend.instance, -math.inf
        )
        if now < max(registered.cold_until, answered_until):
            return True
        assumed = self._assumed_by_data_centre.get(registered.backend.data_centre)
        return (
            assumed is not None and now < assumed.until and registered.announced_at <= assumed.since
        )

    def _held(self, situation: Situation, now: float) -> dict[str, dict[str, float]]:
        """Returns the rates that entries may still use."""
        held = {}
        for instance, rates in self._rates_by_instance.items():
            # Until then some entry may not have heard that the server is warm.
            heard_at = self._warm_since_by_instance.get(instance, -math.inf) + HEARD_S
            if instance in self._cold or now <= heard_at:
                held[instance] = {
                    entry: per_s for entry, per_s in rates.items() if entry in situation.leased
                }
        return held

    def _allot(
        self, instance: str, service: str, cold_per_s: float, serving: tuple[str, ...]
    ) -> None:
        allowance = Allowance.from_tolerance(cold_per_s, self.tolerance)
        held = self._rates_by_instance.get(instance, {})
        room = allowance.entries - len(held)
        free_per_s = allowance.per_s - sum(held.values())
        if room <= 0 or free_per_s <= _ROUNDING:
            return
        others = (entry for entry in serving if entry not in held)
        chosen = heapq.nlargest(room, others, key=functools.partial(rank, instance))
        if not chosen:
            return
        given = dict.fromkeys(chosen, free_per_s / len(chosen))
        self._rates_by_instance[instance] = {**held, **given}
        log(
            events.COLD_ALLOTTED,
            instance=instance,
            service=service,
            per_s=round(free_per_s, 3),
            entries=len(chosen),
            held=len(held),
        )

    def _forget_old(self, now: float) -> None:
        self._answered_until_by_instance = {
            instance: until
            for instance, until in self._answered_until_by_instance.items()
            if now < until
        }
        self._assumed_by_data_centre = {
            data_centre: assumed
            for data_centre, assumed in self._assumed_by_data_centre.items()
            if now < assumed.until
        }
        heard = now - HEARD_S
        self._warm_since_by_instance = {
            instance: since
            for instance, since in self._warm_since_by_instance.items()
            if since >= heard
        }
