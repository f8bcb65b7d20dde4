"""The backend servers that have announced themselves: soft state of the control leader."""

import dataclasses
import hashlib
from collections.abc import Iterable

from geraniumrail.control import events
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport

# An entry gets load reports of at most this many backend servers of a service; of the rest it
# gets membership only. 880 engines would not fit 4 KB/s for each entry.
LOAD_SUBSET = 48
MAX_GONE = 4096
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
            self._gone_by_instance[instance] = self.version
            log(events.BACKEND_GONE, instance=instance, service=gone.backend.service)
        self._trim()
        return bool(expired)

    def since(self, version: int, reader: str) -> Difference:
        """Returns what a reader lacks.

        :param version: registry version that the reader holds; -1 for none.
        :param reader: id of the entry; decides whose load it gets.
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

    def _subset(self, reader: str) -> frozenset[str]:
        if len(self.known_by_instance) <= LOAD_SUBSET:
            return frozenset(self.known_by_instance)
        ranked = sorted(self.known_by_instance, key=lambda instance: _rank(reader, instance))
        return frozenset(ranked[:LOAD_SUBSET])

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
    )


def _rank(reader: str, instance: str) -> bytes:
    return hashlib.blake2b(f'{reader}|{instance}'.encode(), digest_size=8).digest()
