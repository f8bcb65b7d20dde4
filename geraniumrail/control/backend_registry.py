"""The backend servers that have announced themselves: soft state of the control leader."""

import collections
import dataclasses
import functools
import hashlib
import itertools
from collections.abc import Iterable, Iterator

from geraniumrail.control import events
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.core.load_row import LoadRow
from geraniumrail.links.messages import EntryInfo

# An entry gets load reports of at most this many backend servers of a service and version, and
# uses only these; of the rest it gets membership only. The load of 880 engines would not fit 4 KB/s
# for each entry, and 32 lose little (docs/MEASUREMENTS.md, "Load knowledge at scale").
NEAR_SUBSET = 24  # in the region of the entry
FAR_SUBSET = 8
MAX_GONE = 4096
MAX_SUBSETS = 4096
WORD_MASK = (1 << 64) - 1
_Subset = tuple[int, frozenset[str]]  # member changes when it was computed, instances
UNRENEWED_LEASE_S = 86_400.0
# Longer than any announcement is delayed on its way.
WITHDRAWN_S = 60.0


@dataclasses.dataclass(frozen=True)
class RegisteredBackend:
    """One announced backend server."""

    backend: Backend
    expires_at: float
    member_version: int  # registry version of the last change other than load
    load_version: int
    row: LoadRow


@dataclasses.dataclass(frozen=True)
class RegistryDifference:
    """What an entry lacks."""

    version: int
    full: bool
    backends: tuple[Backend, ...]
    loads: tuple[LoadRow, ...]
    gone: tuple[str, ...]


class BackendRegistry:
    """Keeps the newest announcement of each instance until its lease runs out.

    Invariant: `registered_by_instance` is ordered by `member_version` and the departures by
    version, so that the cost of a difference grows with its length, not with the number of backend
    servers.
    """

    def __init__(self, first_version: int = 0) -> None:
        """Starts empty.

        :param first_version: above all versions of earlier registries, so that an entry that holds
            one of those gets everything.
        """
        self.version = first_version
        self.registered_by_instance: dict[str, RegisteredBackend] = {}
        self._gone_by_instance: dict[str, int] = {}
        self._oldest_difference = first_version
        self._member_changes = 0
        self._subset_epoch = 0
        self._sizes: collections.Counter[tuple[str, str]] = collections.Counter()
        self._subset_changes = 0
        self._subsets_by_entry: dict[str, _Subset] = {}
        # Incarnation that has left, and until when its late announcements are ignored.
        self._withdrawn_by_instance: dict[str, tuple[int, float]] = {}

    def observe(self, backends: Iterable[Backend], now: float) -> bool:
        """Merges announcements; the highest sequence of an instance wins.

        :param backends: announcements that entries relayed.
        :param now: monotonic seconds.
        :returns: True if something other than load has changed.
        """
        return any([self._observe_one(backend, now) for backend in backends])

    def expire(self, now: float) -> bool:
        """Forgets the backend servers whose lease ran out.

        :param now: monotonic seconds.
        :returns: True if any was forgotten.
        """
        expired = [
            instance
            for instance, known in self.registered_by_instance.items()
            if known.expires_at < now
        ]
        for lost in expired:
            self._remove(lost)
        self._withdrawn_by_instance = {
            name: kept for name, kept in self._withdrawn_by_instance.items() if kept[1] >= now
        }
        self._trim()
        return bool(expired)

    def withdraw(self, instance: str, incarnation: int, now: float) -> bool:
        """Forgets a backend server that leaves, and ignores its late announcements.

        :param instance: the backend server.
        :param incarnation: its start, or 0 if it did not say; announcements of a later start are
            taken again.
        :param now: monotonic seconds.
        :returns: True if it was known.
        """
        known = self.registered_by_instance.get(instance)
        if known is not None and not incarnation:
            incarnation = known.backend.incarnation
        log(
            events.BACKEND_WITHDRAWN,
            instance=instance,
            incarnation=incarnation,
            known=None if known is None else known.backend.incarnation,
        )
        if known is not None and known.backend.incarnation > incarnation:
            return False
        self._withdrawn_by_instance[instance] = (incarnation, now + WITHDRAWN_S)
        if known is None:
            return False
        self._remove(instance)
        return True

    def has_left(self, instance: str) -> bool:
        """Tells whether a backend server has said that it leaves, or has left.

        :param instance: the backend server.
        """
        known = self.registered_by_instance.get(instance)
        leaves = known is not None and known.backend.state != 'serving'
        return leaves or instance in self._withdrawn_by_instance

    def _remove(self, instance: str) -> None:
        self.version += 1
        gone = self.registered_by_instance.pop(instance)
        self._sizes[_group(gone.backend)] -= 1
        self._member_changes += 1
        self._gone_by_instance[instance] = self.version
        log(events.BACKEND_GONE, instance=instance, service=gone.backend.service)

    def refresh_subsets(self) -> None:
        """Lets the entries' subsets be computed again if members have changed.

        Called a few times a second: after a change of leader, 880 engines announce themselves to
        it one by one, and each would change the subsets of 320 entries.
        """
        if self._subset_changes != self._member_changes:
            self._subset_changes = self._member_changes
            self._subset_epoch += 1

    def difference_since(self, version: int, reader: EntryInfo) -> RegistryDifference:
        """Returns what a reader lacks.

        :param version: registry version that the reader holds; -1 for none.
        :param reader: the entry; decides whose load it gets.
        """
        full = version < self._oldest_difference or version > self.version
        held = -1 if full else version
        subset = self._subset(reader)
        backends = tuple(
            _for_reader(known.backend, self._is_used(known.backend, subset))
            for known in self._changed_since(held)
        )
        used = (self.registered_by_instance.get(instance) for instance in subset)
        loads = tuple(
            known.row
            for known in used
            if known is not None and known.member_version <= held < known.load_version
        )
        gone = () if full else tuple(self._gone_since(held))
        return RegistryDifference(self.version, full, backends, loads, gone)

    def _is_used(self, backend: Backend, subset: frozenset[str]) -> bool:
        # The subset may be older than a new backend server, which would get no work from this
        # entry until its next announcement.
        small = self._sizes[_group(backend)] <= NEAR_SUBSET + FAR_SUBSET
        return small or backend.instance in subset

    def _changed_since(self, held: int) -> Iterator[RegisteredBackend]:
        for known in reversed(self.registered_by_instance.values()):
            if known.member_version <= held:
                return
            yield known

    def _gone_since(self, held: int) -> Iterator[str]:
        for instance, version in reversed(self._gone_by_instance.items()):
            if version <= held:
                return
            yield instance

    def _observe_one(self, backend: Backend, now: float) -> bool:
        known = self.registered_by_instance.get(backend.instance)
        withdrawn = self._withdrawn_by_instance.get(backend.instance)
        if withdrawn is not None and backend.incarnation <= withdrawn[0]:
            return False
        if known is not None and backend.freshness <= known.backend.freshness:
            return False
        self.version += 1
        changed = known is None or _identity(known.backend) != _identity(backend)
        self._member_changes += changed
        if known is None:
            log(
                events.BACKEND_ADDED,
                instance=backend.instance,
                service=backend.service,
                version=backend.version,
                data_centre=backend.data_centre,
                reclaimable=backend.reclaimable,
                state=backend.state,
            )
        elif changed:
            log(events.BACKEND_CHANGED, instance=backend.instance, state=backend.state)
        self._gone_by_instance.pop(backend.instance, None)
        if changed:
            self.registered_by_instance.pop(backend.instance, None)  # goes to the end of the order
            self._sizes[_group(backend)] += 1
            if known is not None:
                self._sizes[_group(known.backend)] -= 1
        self.registered_by_instance[backend.instance] = RegisteredBackend(
            backend=backend,
            expires_at=now + backend.lease_s,
            member_version=known.member_version if known and not changed else self.version,
            load_version=self.version,
            row=LoadRow.from_backend(backend),
        )
        return changed

    def _subset(self, reader: EntryInfo) -> frozenset[str]:
        """Returns the instances whose load the entry gets; computed anew when members change."""
        held = self._subsets_by_entry.get(reader.entry)
        if held is not None and held[0] >= self._subset_epoch:
            return held[1]
        groups: dict[tuple[str, str], list[Backend]] = {}
        for known in self.registered_by_instance.values():
            groups.setdefault(_group(known.backend), []).append(known.backend)
        subset = frozenset(
            itertools.chain.from_iterable(_nearest(group, reader) for group in groups.values()),
        )
        if len(self._subsets_by_entry) > MAX_SUBSETS:
            self._subsets_by_entry.clear()  # entries that restarted leave theirs behind
        self._subsets_by_entry[reader.entry] = (self._subset_epoch, subset)
        return subset

    def _trim(self) -> None:
        surplus = max(0, len(self._gone_by_instance) - MAX_GONE)
        for instance in list(self._gone_by_instance)[:surplus]:
            self._oldest_difference = self._gone_by_instance.pop(instance)


def _identity(backend: Backend) -> Backend:
    return dataclasses.replace(backend, sequence=0, load=LoadReport(), cache_events=())


def _for_reader(backend: Backend, with_load: bool) -> Backend:
    if with_load:
        return backend
    # The reader gets no renewals of it either, so its lease ends only by the leader's word.
    return dataclasses.replace(
        backend,
        load=LoadReport(slots=backend.load.slots),
        cache_events=(),
        lease_s=UNRENEWED_LEASE_S,
        load_known=False,
    )


def _nearest(backends: list[Backend], reader: EntryInfo) -> Iterator[str]:
    """Yields a part of one service and version, by rendezvous hashing, most of it near."""
    if len(backends) <= NEAR_SUBSET + FAR_SUBSET:
        yield from (backend.instance for backend in backends)
        return
    entry = _digest(reader.entry)
    ranked = sorted(backends, key=lambda backend: _mix(entry ^ _digest(backend.instance)))
    near = [backend for backend in ranked if backend.region == reader.region][:NEAR_SUBSET]
    far = [backend for backend in ranked if backend.region != reader.region]
    far += [backend for backend in ranked if backend.region == reader.region][NEAR_SUBSET:]
    chosen = itertools.chain(near, far[: NEAR_SUBSET + FAR_SUBSET - len(near)])
    yield from (backend.instance for backend in chosen)


def _group(backend: Backend) -> tuple[str, str]:
    return backend.service, backend.version


@functools.cache
def _digest(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def _mix(number: int) -> int:
    """Spreads the bits of a number of 64 bits (the finalizer of splitmix64)."""
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & WORD_MASK
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & WORD_MASK
    return number ^ (number >> 31)
