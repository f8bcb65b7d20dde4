"""Divides the limits that backend servers name among the entries: soft state of the leader."""

import dataclasses
import functools
import heapq
from collections.abc import Sequence, Set

from geraniumrail.routing.named_limit import NamedLimit
from geraniumrail.routing.rendezvous import rank

# A backend server that has limited itself to nothing is asked now and then whether it still does.
LEAST_PER_S = 0.1
# Each entry may save up one request, so a limit is divided among so few entries that all of them
# together stay within the limit of some seconds.
SAVED_S = 2.0
SAVED_REQUESTS = 3
GONE_S = 15.0  # backend servers have announced themselves to a new leader within this time
ENDED_S = 60.0  # reports of an earlier limit come no later


@dataclasses.dataclass(frozen=True)
class _Said:
    per_s: float | None
    at: float


class LimitBoard:
    """The newest limit of each backend server.

    A limit ends with an answer that names none, or with its backend server. It has no other age:
    entries that are allotted nothing don't hear whether it still holds.
    """

    def __init__(self) -> None:
        """Starts without limits."""
        self._said_by_instance: dict[str, _Said] = {}
        self._rates_by_entry: dict[str, dict[str, float]] = {}
        self._divided_among: tuple[str, ...] = ()

    def observe(self, limits: Sequence[NamedLimit], now: float) -> bool:
        """Takes what an entry has heard. Tells whether a limit has changed.

        :param limits: report of one entry.
        :param now: monotonic seconds.
        """
        before = self._limits()
        for limit in limits:
            known = self._said_by_instance.get(limit.instance)
            said_at = now - limit.age_s
            if known is None or said_at >= known.at:
                self._said_by_instance[limit.instance] = _Said(limit.per_s, said_at)
        if self._limits() == before:
            return False
        self._divided_among = ()
        return True

    def expire(self, serving: Set[str], now: float) -> None:
        """Drops the limits of backend servers that are gone.

        :param serving: registered instances.
        :param now: monotonic seconds.
        """
        kept = {
            instance: said
            for instance, said in self._said_by_instance.items()
            if now - said.at < (ENDED_S if said.per_s is None else GONE_S)
            or (said.per_s is not None and instance in serving)
        }
        if len(kept) < len(self._said_by_instance):
            self._said_by_instance = kept
            self._divided_among = ()

    def rates(self, entry: str, entries: tuple[str, ...]) -> dict[str, float]:
        """Returns what one entry may send to each limited backend server, in requests a second.

        :param entry: id of the entry.
        :param entries: all entries that may serve.
        """
        if entries != self._divided_among:
            self._divided_among = entries
            self._rates_by_entry = self._divide(entries)
        return self._rates_by_entry.get(entry) or dict.fromkeys(self._limits(), float(0))

    def _limits(self) -> dict[str, float]:
        return {
            instance: max(LEAST_PER_S, said.per_s)
            for instance, said in self._said_by_instance.items()
            if said.per_s is not None
        }

    def _divide(self, entries: tuple[str, ...]) -> dict[str, dict[str, float]]:
        limits = self._limits()
        rates = {entry: dict.fromkeys(limits, float(0)) for entry in entries}
        for instance, per_s in limits.items():
            share = int(SAVED_S * per_s + SAVED_REQUESTS)
            chosen = heapq.nlargest(share, entries, key=functools.partial(rank, instance))
            for entry in chosen:
                rates[entry][instance] = per_s / len(chosen)
        return rates
