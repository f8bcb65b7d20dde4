"""Finds what crashes backend servers, prompt parts or requests, on the control leader."""

import collections
import dataclasses
import heapq
import itertools
import math
import operator
from collections.abc import Iterable, Iterator, Sequence

from geraniumrail.quarantine.crash_note import CrashNote
from geraniumrail.quarantine.fingerprint import is_fingerprint
from geraniumrail.quarantine.sound_part import SoundPart
from geraniumrail.quarantine.sound_times import Key

# Two crashes can have a rare part in common by chance; a third with the same part and no answer in
# between cannot, in practice.
MIN_CRASHES = 3
# Backend servers that are lost together, such as a whole data centre, count as one crash.
SEPARATE_S = 0.2
# Copies of one request that crash several backend servers together, and do so again, are no loss of
# a data centre.
MIN_REPEATED = 2
MEMORY_S = 600.0
MAX_CRASHES = 128
MAX_REQUESTS = 128  # of one crash
MAX_CANDIDATES = 64  # parts, and as many fingerprints, that are compared
MAX_WATCHED = 128  # parts, of the newest crashes; and as many fingerprints


@dataclasses.dataclass(frozen=True)
class Finding:
    """What requests at several crashes have in common, and no answered request has."""

    service: str
    parts: tuple[str, ...]  # prompt parts, and the fingerprint if it was always the same request
    crashes: int
    last_at: float


@dataclasses.dataclass
class _Crash:
    service: str
    at: float
    requests: set[frozenset[str]] = dataclasses.field(default_factory=set)
    traits: set[str] = dataclasses.field(default_factory=set)  # of all requests

    def add(self, requests: Iterable[frozenset[str]]) -> None:
        """Adds requests that waited there."""
        for request in requests:
            self.requests.add(request)
            self.traits |= request


_CrashesByKey = dict[Key, list[_Crash]]


class CrashLedger:
    """Crashes and answered requests; a trait is a prompt part or the fingerprint of a request.

    Invariant: a trait of a request that was answered after a crash is no suspect of it.
    """

    def __init__(self) -> None:
        """Starts without evidence."""
        self._crashes: collections.OrderedDict[tuple[str, str, int], _Crash] = (
            collections.OrderedDict()
        )
        self._sound_at: dict[Key, float] = {}
        self._suspects: dict[Key, None] = {}
        self._findings: tuple[Finding, ...] = ()
        self._is_stale = False  # there is evidence that the conclusions don't take into account

    def observe_crash(self, note: CrashNote, now: float) -> bool:
        """Records a crash; several entries may report the same one. Tells whether it is news.

        :param note: report of one entry.
        :param now: monotonic seconds.
        """
        self._expire(now)
        requests = dict.fromkeys(frozenset(traits) for traits in note.requests if traits)
        if not requests:
            return False
        key = (note.service, note.instance, note.incarnation)
        crash = self._crashes.setdefault(key, _Crash(note.service, now - note.age_s))
        fresh = [request for request in requests if request not in crash.requests]
        room = max(0, MAX_REQUESTS - len(crash.requests))
        added = fresh[:room]
        crash.add(added)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._is_stale = self._is_stale or bool(added)
        return bool(added)

    def observe_sound(self, sounds: Iterable[SoundPart], now: float) -> bool:
        """Records that requests with some traits were answered. Tells whether one was a suspect.

        :param sounds: report of one entry.
        :param now: monotonic seconds.
        """
        is_news = False
        for sound in sounds:
            crashes = [
                crash
                for crash in self._crashes.values()
                if crash.service == sound.service and sound.part in crash.traits
            ]
            if not crashes:
                continue
            key = (sound.service, sound.part)
            earlier_at, at = self._sound_at.get(key, -math.inf), now - sound.age_s
            self._sound_at[key] = max(earlier_at, at)
            is_news = is_news or any(earlier_at <= crash.at < at for crash in crashes)
        self._is_stale = self._is_stale or is_news
        return is_news

    def watched(self) -> dict[str, tuple[str, ...]]:
        """Returns the traits, by service, of which the entries report answered requests."""
        self._conclude()
        parts = (key for key in self._suspects if not is_fingerprint(key[1]))
        fingerprints = (key for key in self._suspects if is_fingerprint(key[1]))
        traits_by_service: dict[str, tuple[str, ...]] = {}
        for service, trait in (
            *itertools.islice(parts, MAX_WATCHED),
            *itertools.islice(fingerprints, MAX_WATCHED),
        ):
            traits_by_service[service] = (*traits_by_service.get(service, ()), trait)
        return traits_by_service

    def findings(self) -> tuple[Finding, ...]:
        """Returns what the crashes have in common, if there are enough of them."""
        self._conclude()
        return self._findings

    def is_refuted(self, service: str, parts: Iterable[str]) -> bool:
        """Returns whether enough crashes are known, and answers or other requests explain them.

        :param service: name of the service.
        :param parts: of an earlier finding.
        """
        self._conclude()
        wanted = frozenset(parts)
        crashes = self._crashes_everywhere(service, wanted)
        if not _is_repeated(crashes):
            return False
        requests = [request for crash in crashes for request in crash.requests if request >= wanted]
        return not any(
            finding.service == service
            and any(request.issuperset(finding.parts) for request in requests)
            for finding in self.findings()
        )

    def _conclude(self) -> None:
        """Draws the conclusions once for all changes since they were read last."""
        if not self._is_stale:
            return
        self._is_stale = False
        crashes_by_key = self._suspected_crashes()
        # Those of most crashes first, then those of the newest.
        ordered = sorted(crashes_by_key, key=lambda key: -len(crashes_by_key[key]))
        self._suspects = dict.fromkeys(ordered)
        by_part, by_fingerprint = _split(crashes_by_key)
        everywhere = _by_fingerprint(by_fingerprint)
        repeated = {
            key: everywhere[key[1]] for key in by_fingerprint if _is_repeated(everywhere[key[1]])
        }
        findings = self._find_parts(by_part, repeated)
        self._findings = (*findings, *self._find_requests(repeated, findings))

    def _suspected_crashes(self) -> _CrashesByKey:
        crashes_by_key: _CrashesByKey = {}
        for crash in reversed(self._crashes.values()):
            for trait in sorted(frozenset().union(*self._open_requests(crash))):
                crashes_by_key.setdefault((crash.service, trait), []).append(crash)
        return crashes_by_key

    def _find_parts(self, crashes_by_key: _CrashesByKey, repeated: _CrashesByKey) -> list[Finding]:
        """Finds the parts that explain most crashes first.

        A crash that is explained is no evidence against the other parts of its requests. Parts all
        of whose crashes are those of repeated requests may be sound: other requests have them too.
        """
        of_repeated = {id(crash) for crashes in repeated.values() for crash in crashes}
        candidates = {
            key: crashes
            for key, crashes in crashes_by_key.items()
            if len(crashes) >= MIN_CRASHES
            and any(id(crash) not in of_repeated for crash in crashes)
        }
        explained: set[int] = set()
        findings: list[Finding] = []
        for _, _, suspect in self._ranks(candidates):
            left = [crash for crash in candidates[suspect] if id(crash) not in explained]
            if _separate(left) >= MIN_CRASHES:
                findings.append(self._finding(suspect, left))
                explained |= self._explained(findings[-1:])
        return findings

    def _find_requests(self, repeated: _CrashesByKey, findings: list[Finding]) -> list[Finding]:
        """Finds the requests that crash backend servers, whatever parts they have.

        Requests that stood beside each other at the same crashes are found alike; one that was at
        fewer crashes than another is explained by it. A route may divide a request between
        services: it is found at each where it was at a crash, by its crashes everywhere.

        :param repeated: crashes everywhere of each request, by the services where it was at some.
        :param findings: parts, which explain crashes already.
        """
        explained = self._explained(findings)
        found: list[Finding] = []
        for _, group in itertools.groupby(self._ranks(repeated), key=operator.itemgetter(0)):
            alike: list[Finding] = []
            for _, _, suspect in group:
                left = [crash for crash in repeated[suspect] if id(crash) not in explained]
                own = [crash for crash in left if crash.service == suspect[0]]
                if own and _is_repeated(left):
                    alike.append(self._finding(suspect, own))
            explained |= self._explained(alike)
            found.extend(alike)
        return found

    def _explained(self, findings: Iterable[Finding]) -> set[int]:
        return {
            id(crash)
            for finding in findings
            for crash in self._crashes_with(finding.service, frozenset(finding.parts))
        }

    def _ranks(self, crashes_by_key: _CrashesByKey) -> list[tuple[int, int, Key]]:
        """Orders the strongest suspects."""
        strongest = heapq.nsmallest(
            MAX_CANDIDATES,
            crashes_by_key.items(),
            key=lambda suspect: (-_separate(suspect[1]), suspect[0]),
        )
        return sorted(self._rank(key, crashes) for key, crashes in strongest)

    def _rank(self, key: Key, crashes: Sequence[_Crash]) -> tuple[int, int, Key]:
        """Orders suspects: most crashes first, then those of the fewest requests."""
        _, trait = key
        requests = sum(trait in request for crash in crashes for request in crash.requests)
        return (-_separate(crashes), requests, key)

    def _finding(self, key: Key, crashes: Sequence[_Crash]) -> Finding:
        service, trait = key
        last_at = max(crash.at for crash in crashes)
        return Finding(service, self._common_parts(crashes, trait), len(crashes), last_at)

    def last_crash(self, service: str, parts: Iterable[str]) -> float:
        """Returns when the newest crash with a request of all these parts was; -inf: never.

        One request is looked for at all services: a trial that fails at one counts for all.

        :param service: name of the service.
        :param parts: prompt parts and fingerprints.
        """
        crashes = self._crashes_everywhere(service, frozenset(parts))
        return max((crash.at for crash in crashes), default=-math.inf)

    def _crashes_with(self, service: str, wanted: frozenset[str]) -> list[_Crash]:
        return [
            crash
            for crash in self._crashes.values()
            if crash.service == service and any(request >= wanted for request in crash.requests)
        ]

    def _crashes_everywhere(self, service: str, wanted: frozenset[str]) -> list[_Crash]:
        """Returns the crashes at a service, or at all services if one request is wanted."""
        services = {service}
        if any(map(is_fingerprint, wanted)):
            services = {crash.service for crash in self._crashes.values()}
        return [crash for each in services for crash in self._crashes_with(each, wanted)]

    def _expire(self, now: float) -> None:
        before = now - MEMORY_S
        old = tuple(key for key, crash in self._crashes.items() if crash.at < before)
        for expired in old:
            self._crashes.pop(expired)
        self._sound_at = {key: at for key, at in self._sound_at.items() if at >= before}

    def _open_requests(self, crash: _Crash) -> Iterator[frozenset[str]]:
        """Yields what is still suspected of each request at a crash."""
        for request in crash.requests:
            suspected = frozenset(
                part
                for part in request
                if self._sound_at.get((crash.service, part), -math.inf) <= crash.at
            )
            if suspected:
                yield suspected

    def _common_parts(self, crashes: Iterable[_Crash], part: str) -> tuple[str, ...]:
        requests = (
            request
            for crash in crashes
            for request in self._open_requests(crash)
            if part in request
        )
        return tuple(sorted(frozenset.intersection(*requests)))


def _separate(crashes: Iterable[_Crash]) -> int:
    """Counts crashes, those at about the same time as one."""
    count, counted_at = 0, -math.inf
    for at in sorted(crash.at for crash in crashes):
        if at >= counted_at + SEPARATE_S:
            count, counted_at = count + 1, at
    return count


def _is_repeated(crashes: Sequence[_Crash]) -> bool:
    """Returns whether one request was at enough crashes to be their cause."""
    return len(crashes) >= MIN_CRASHES and _separate(crashes) >= MIN_REPEATED


def _by_fingerprint(crashes_by_key: _CrashesByKey) -> dict[str, list[_Crash]]:
    """Returns the crashes of each request at all services."""
    crashes_by_fingerprint: dict[str, list[_Crash]] = {}
    for (_, fingerprint), crashes in crashes_by_key.items():
        crashes_by_fingerprint.setdefault(fingerprint, []).extend(crashes)
    return crashes_by_fingerprint


def _split(crashes_by_key: _CrashesByKey) -> tuple[_CrashesByKey, _CrashesByKey]:
    """Returns the crashes by prompt part, and those by fingerprint."""
    by_part = {key: each for key, each in crashes_by_key.items() if not is_fingerprint(key[1])}
    return by_part, {key: each for key, each in crashes_by_key.items() if key not in by_part}
