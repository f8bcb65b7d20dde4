"""The backend servers that have announced themselves: soft state of the control leader."""

import dataclasses
import hashlib
import itertools
from collections.abc import Iterable, Iterator

from geraniumrail.control import events
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.links.messages import EntryInfo

# An entry gets load reports of at most this many backend servers of a service and version, and
# uses only these; of the rest it gets membership only. The load of 880 engines would not fit 4 KB/s
# for each entry, and 32 lose little (docs/MEASUREMENTS.md, "Load knowledge at scale").
NEAR_SUBSET = 24  # in the region of the entry
FAR_SUBSET = 8
MAX_GONE = 4096
MAX_SUBSETS = 4096
_Subset = tuple[int, frozenset[str]]  # member changes when it was computed, instances
UNRENEWED_LEASE_S = 86_400.0


@dataclasses.dataclass(frozen=True)
class Known:
    """One announced backend server."""

    backend: Backend
    expires_at: float
    member_version: int  # registry version of the last change other than load
    load_version: int


@dataclasses.dataclass(frozen=True)
class Difference:
    """What an entry lacks."""

    version: int
    full: bool
    backends: tuple[Backend, ...]
    gone: tuple[str, ...]


class Registry:
    """Keeps the newest announcement of each instance until its lease runs out."""

    def __init__(self) -> None:
        """Starts empty."""
        self.version = 0
        self.known_by_instance: dict[str, Known] = {}
        self._gone_by_instance: dict[str, int] = {}
        self._oldest_difference = 0
        self._member_changes = 0
        self._subsets_by_entry: dict[str, _Subset] = {}

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
            instance for instance, known in self.known_by_instance.items() if known.expires_at < now
        ]
        for instance in expired:
            self.version += 1
            gone = self.known_by_instance.pop(instance)
            self._member_changes += 1
            self._gone_by_instance[instance] = self.version
            log(events.BACKEND_GONE, instance=instance, service=gone.backend.service)
        self._trim()
        return bool(expired)

    def since(self, version: int, reader: EntryInfo) -> Difference:
        """Returns what a reader lacks.

        :param version: registry version that the reader holds; -1 for none.
        :param reader: the entry; decides whose load it gets.
        """
        full = version < self._oldest_difference or version > self.version
        held = -1 if full else version
        subset = self._subset(reader)
        backends = tuple(
            _for_reader(known.backend, instance in subset)
            for instance, known in self.known_by_instance.items()
            if known.member_version > held or (instance in subset and known.load_version > held)
        )
        gone = tuple(
            instance for instance, removed in self._gone_by_instance.items() if removed > held
        )
        return Difference(self.version, full, backends, () if full else gone)

    def _observe_one(self, backend: Backend, now: float) -> bool:
        known = self.known_by_instance.get(backend.instance)
        if known is not None and backend.sequence <= known.backend.sequence:
            return False
        self.version += 1
        changed = known is None or _identity(known.backend) != _identity(backend)
        self._member_changes += changed
        if known is None:
            log(events.BACKEND_ADDED, instance=backend.instance, service=backend.service)
        elif changed:
            log(events.BACKEND_CHANGED, instance=backend.instance, state=backend.state)
        self._gone_by_instance.pop(backend.instance, None)
        self.known_by_instance[backend.instance] = Known(
            backend=backend,
            expires_at=now + backend.lease_s,
            member_version=known.member_version if known and not changed else self.version,
            load_version=self.version,
        )
        return changed

    def _subset(self, reader: EntryInfo) -> frozenset[str]:
        """Returns the instances whose load the entry gets; computed anew when members change."""
        held = self._subsets_by_entry.get(reader.entry)
        if held is not None and held[0] == self._member_changes:
            return held[1]
        groups: dict[tuple[str, str], list[Backend]] = {}
        for known in self.known_by_instance.values():
            group = (known.backend.service, known.backend.version)
            groups.setdefault(group, []).append(known.backend)
        subset = frozenset(
            itertools.chain.from_iterable(_nearest(group, reader) for group in groups.values()),
        )
        if len(self._subsets_by_entry) > MAX_SUBSETS:
            self._subsets_by_entry.clear()  # entries that restarted leave theirs behind
        self._subsets_by_entry[reader.entry] = (self._member_changes, subset)
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
        load=LoadReport(),
        cache_events=(),
        lease_s=UNRENEWED_LEASE_S,
        load_known=False,
    )


def _nearest(backends: list[Backend], reader: EntryInfo) -> Iterator[str]:
    """Yields a part of one service and version, by rendezvous hashing, most of it near."""
    if len(backends) <= NEAR_SUBSET + FAR_SUBSET:
        yield from (backend.instance for backend in backends)
        return
    ranked = sorted(backends, key=lambda backend: _rank(reader.entry, backend.instance))
    near = [backend for backend in ranked if backend.region == reader.region][:NEAR_SUBSET]
    far = [backend for backend in ranked if backend not in near]
    chosen = itertools.chain(near, far[: NEAR_SUBSET + FAR_SUBSET - len(near)])
    yield from (backend.instance for backend in chosen)


def _rank(reader: str, instance: str) -> bytes:
    return hashlib.blake2b(f'{reader}|{instance}'.encode(), digest_size=8).digest()
