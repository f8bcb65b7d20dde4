"""The announced backend servers: soft state of the control leader."""

import collections
import dataclasses
import functools
import hashlib
import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping

from geraniumrail.control import events
from geraniumrail.core.addresses import Addresses
from geraniumrail.core.backend import Backend
from geraniumrail.core.departure import Departure
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.core.load_row import LoadRow
from geraniumrail.links.messages import EntryInfo

# An entry gets the load of at most this many backend servers of a service and version, and sends
# requests only to these; of the others it gets only that they exist. The load of 880 engines would
# exceed 4 KB/s for each entry, and a choice among 32 is little worse (docs/MEASUREMENTS.md, "Load
# knowledge at scale").
NEAR_SUBSET_SIZE = 24  # in the region of the entry
FAR_SUBSET_SIZE = 8
MAX_DEPARTURES = 4096
MAX_SUBSETS = 4096
UINT64_MASK = (1 << 64) - 1
_Subset = tuple[int, frozenset[str]]  # subset epoch when it was computed, instances
UNRENEWED_LEASE_S = 86_400.0
# Announcements of one cold start name its end with an error below this, unless they are late.
COLD_SHIFT_S = 0.2


@dataclasses.dataclass(frozen=True)
class RegisteredBackend:
    """One announced backend server."""

    backend: Backend
    expires_at: float
    member_version: int  # registry version of the last change other than load
    load_version: int
    load_row: LoadRow
    leaving_from: int | None  # sequence since which it leaves; None: it serves
    announced_at: float  # when the announcement was received
    cold_until: float  # 0: it is warm


@dataclasses.dataclass(frozen=True)
class RegistryDifference:
    """Changes of the registry that an entry has not received."""

    version: int
    full: bool
    backends: tuple[Backend, ...]
    loads: tuple[LoadRow, ...]
    gone: tuple[str, ...]


class BackendRegistry:
    """Keeps the newest announcement of each instance until its lease expires.

    Invariant: `registered_by_instance` is ordered by `member_version` and the departures by
    version, so that the cost of a difference grows with its length, not with the number of backend
    servers. No registered announcement is covered by a recorded departure, or is of a server at
    whose address another registered one has started later.
    """

    def __init__(
        self,
        first_version: int = 0,
        departures: Callable[[], Mapping[str, Departure]] = dict,
    ) -> None:
        """Starts empty.

        :param first_version: above all versions of earlier registries, so that an entry with one of
            those gets the whole registry.
        :param departures: returns the recorded departures by instance.
        """
        self.version = first_version
        self.registered_by_instance: dict[str, RegisteredBackend] = {}
        self._addresses = Addresses()
        self._departures_by_instance: dict[str, int] = {}
        self._oldest_version = first_version
        self._member_changes = 0
        self._subset_epoch = 0
        self._size_by_group: collections.Counter[tuple[str, str]] = collections.Counter()
        self._changes_in_epoch = 0
        self._subsets_by_entry: dict[str, _Subset] = {}
        self._departures = departures
        self._now: float = 0  # of the last call that named it

    def observe(self, backends: Iterable[Backend], now: float) -> bool:
        """Merges announcements; the highest sequence of an instance wins.

        :param backends: announcements that entries relayed.
        :param now: monotonic seconds.
        :returns: whether something other than load has changed.
        """
        self._now = max(self._now, now)
        return any([self._observe_one(backend, now) for backend in backends])

    def expire(self, now: float) -> bool:
        """Removes the backend servers whose lease expired.

        :param now: monotonic seconds.
        :returns: whether any was removed.
        """
        self._now = max(self._now, now)
        expired = [
            instance
            for instance, registered in self.registered_by_instance.items()
            if registered.expires_at < now
        ]
        for instance in expired:
            self._remove(instance)
        self._limit_departures()
        return bool(expired)

    def remove_departed(self, departures: Iterable[Departure]) -> bool:
        """Removes the backend servers that have left.

        :param departures: departures that were recorded.
        :returns: whether any was registered.
        """
        departed = [
            departure.instance
            for departure in departures
            if (registered := self.registered_by_instance.get(departure.instance)) is not None
            and departure.covers(registered.backend)
        ]
        for instance in departed:
            self._remove(instance)
        return bool(departed)

    def has_left(self, backend: Backend) -> bool:
        """Returns whether a backend server has announced that it leaves, has left or is replaced.

        :param backend: an earlier announcement of it.
        """
        registered = self.registered_by_instance.get(backend.instance)
        leaves = registered is not None and registered.leaving_from is not None
        return leaves or self._is_outdated(backend)

    def _is_outdated(self, backend: Backend) -> bool:
        departure = self._departures().get(backend.instance)
        has_departed = departure is not None and departure.covers(backend)
        return has_departed or self._addresses.is_replaced(backend)

    def _remove(self, instance: str) -> None:
        self.version += 1
        removed = self.registered_by_instance.pop(instance)
        self._addresses.remove(instance)
        self._size_by_group[_group(removed.backend)] -= 1
        self._member_changes += 1
        self._departures_by_instance[instance] = self.version
        log(events.BACKEND_GONE, instance=instance, service=removed.backend.service)

    def refresh_subsets(self) -> None:
        """Marks the entries' subsets as outdated if backend servers were added, changed or removed.

        Called a few times a second rather than for each change: after a change of leader, 880
        engines announce themselves one by one, and each would change the subsets of 320 entries.
        """
        if self._changes_in_epoch != self._member_changes:
            self._changes_in_epoch = self._member_changes
            self._subset_epoch += 1

    def difference_since(self, version: int, reader: EntryInfo) -> RegistryDifference:
        """Returns the changes since a version.

        :param version: registry version that the entry has; -1 for none.
        :param reader: the entry; determines the backend servers whose load it gets.
        """
        full = version < self._oldest_version or version > self.version
        known_version = -1 if full else version
        subset = self._subset(reader)
        backends = tuple(
            _for_reader(
                self._with_cold_left(registered), self._gets_load(registered.backend, subset)
            )
            for registered in self._changed_since(known_version)
        )
        in_subset = (self.registered_by_instance.get(instance) for instance in subset)
        loads = tuple(
            registered.load_row
            for registered in in_subset
            if registered is not None
            and registered.member_version <= known_version < registered.load_version
        )
        gone = () if full else tuple(self._departures_since(known_version))
        return RegistryDifference(self.version, full, backends, loads, gone)

    def _with_cold_left(self, registered: RegisteredBackend) -> Backend:
        if not registered.backend.cold_s:
            return registered.backend
        left_s = max(0, registered.cold_until - self._now)
        return dataclasses.replace(registered.backend, cold_s=left_s)

    def _gets_load(self, backend: Backend, subset: frozenset[str]) -> bool:
        # A new backend server is not in a subset that was computed before, and would get no work
        # from this entry until its next announcement.
        is_small_group = self._size_by_group[_group(backend)] <= NEAR_SUBSET_SIZE + FAR_SUBSET_SIZE
        return is_small_group or backend.instance in subset

    def _changed_since(self, known_version: int) -> Iterator[RegisteredBackend]:
        for registered in reversed(self.registered_by_instance.values()):
            if registered.member_version <= known_version:
                return
            yield registered

    def _departures_since(self, known_version: int) -> Iterator[str]:
        for instance, version in reversed(self._departures_by_instance.items()):
            if version <= known_version:
                return
            yield instance

    def _observe_one(self, backend: Backend, now: float) -> bool:
        registered = self.registered_by_instance.get(backend.instance)
        if self._is_outdated(backend):
            return False
        if registered is not None and backend.freshness <= registered.backend.freshness:
            return False
        replaced = self._addresses.add(backend)
        if replaced is not None:
            log(
                events.BACKEND_REPLACED,
                instance=replaced,
                by=backend.instance,
                address=backend.address,
            )
            self._remove(replaced)
        self.version += 1
        cold_until = now + backend.cold_s if backend.cold_s > 0 else 0
        changed = (
            registered is None
            or _without_load(registered.backend) != _without_load(backend)
            or _is_moved(registered.cold_until, cold_until, now)
        )
        self._member_changes += changed
        if registered is None:
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
        self._departures_by_instance.pop(backend.instance, None)
        if changed:
            self.registered_by_instance.pop(backend.instance, None)  # goes to the end of the order
            self._size_by_group[_group(backend)] += 1
            if registered is not None:
                self._size_by_group[_group(registered.backend)] -= 1
        self.registered_by_instance[backend.instance] = RegisteredBackend(
            backend=backend,
            expires_at=now + backend.lease_s,
            member_version=registered.member_version
            if registered and not changed
            else self.version,
            load_version=self.version,
            load_row=LoadRow.from_backend(backend),
            leaving_from=_leaving_from(backend, registered),
            announced_at=now,
            cold_until=cold_until,
        )
        return changed

    def _subset(self, reader: EntryInfo) -> frozenset[str]:
        """Returns the instances whose load the entry gets; cached until the epoch changes."""
        cached = self._subsets_by_entry.get(reader.entry)
        if cached is not None and cached[0] >= self._subset_epoch:
            return cached[1]
        groups: dict[tuple[str, str], list[Backend]] = {}
        for registered in self.registered_by_instance.values():
            groups.setdefault(_group(registered.backend), []).append(registered.backend)
        subset = frozenset(
            itertools.chain.from_iterable(
                _choose_subset(group, reader) for group in groups.values()
            ),
        )
        if len(self._subsets_by_entry) > MAX_SUBSETS:
            self._subsets_by_entry.clear()  # also holds entries that are gone
        self._subsets_by_entry[reader.entry] = (self._subset_epoch, subset)
        return subset

    def _limit_departures(self) -> None:
        surplus = max(0, len(self._departures_by_instance) - MAX_DEPARTURES)
        for instance in list(self._departures_by_instance)[:surplus]:
            self._oldest_version = self._departures_by_instance.pop(instance)


def _leaving_from(backend: Backend, earlier: RegisteredBackend | None) -> int | None:
    if backend.state == 'serving':
        return None
    if earlier is None or earlier.backend.incarnation != backend.incarnation:
        return backend.sequence
    return backend.sequence if earlier.leaving_from is None else earlier.leaving_from


def _without_load(backend: Backend) -> Backend:
    return dataclasses.replace(backend, sequence=0, load=LoadReport(), cache_events=(), cold_s=0)


def _is_moved(known_until: float, cold_until: float, now: float) -> bool:
    """Returns whether a cold time begins, ends early, or ends at another time than was known."""
    known_left_s = max(0, known_until - now)
    return abs(max(0, cold_until - now) - known_left_s) > COLD_SHIFT_S


def _for_reader(backend: Backend, with_load: bool) -> Backend:
    if with_load:
        return backend
    # The entry gets no renewals of it either, so its lease is long; the leader reports a departure.
    return dataclasses.replace(
        backend,
        load=LoadReport(slots=backend.load.slots),
        cache_events=(),
        lease_s=UNRENEWED_LEASE_S,
        load_known=False,
    )


def _choose_subset(backends: list[Backend], reader: EntryInfo) -> Iterator[str]:
    """Yields a subset of one service and version, mostly near, by rendezvous hashing."""
    if len(backends) <= NEAR_SUBSET_SIZE + FAR_SUBSET_SIZE:
        yield from (backend.instance for backend in backends)
        return
    entry = _digest(reader.entry)
    ranked = sorted(backends, key=lambda backend: _mix(entry ^ _digest(backend.instance)))
    near = [backend for backend in ranked if backend.region == reader.region][:NEAR_SUBSET_SIZE]
    far = [backend for backend in ranked if backend.region != reader.region]
    far += [backend for backend in ranked if backend.region == reader.region][NEAR_SUBSET_SIZE:]
    chosen = itertools.chain(near, far[: NEAR_SUBSET_SIZE + FAR_SUBSET_SIZE - len(near)])
    yield from (backend.instance for backend in chosen)


def _group(backend: Backend) -> tuple[str, str]:
    return backend.service, backend.version


@functools.cache
def _digest(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def _mix(number: int) -> int:
    """Spreads the bits of a number of 64 bits (the finalizer of splitmix64)."""
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return number ^ (number >> 31)
