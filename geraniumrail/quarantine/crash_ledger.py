"""Finds the prompt parts that crash backend servers: evidence of all entries, on the leader."""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Sequence

from geraniumrail.quarantine.crash_note import CrashNote
from geraniumrail.quarantine.sound_part import SoundPart

# Two crashes can have a rare part in common by chance; a third with the same part and no answer in
# between cannot, in practice.
MIN_CRASHES = 3
# Backend servers that are lost together, such as a whole data centre, count as one crash.
SEPARATE_S = 0.2
MEMORY_S = 600.0
MAX_CRASHES = 64
MAX_REQUESTS = 32  # of one crash
MAX_WATCHED = 128  # parts, of the newest crashes

Key = tuple[str, str]  # service and part


@dataclasses.dataclass(frozen=True)
class Finding:
    """Parts that the requests at several crashes have in common, and no answered request has."""

    service: str
    parts: tuple[str, ...]
    crashes: int
    last_at: float


@dataclasses.dataclass
class _Crash:
    service: str
    at: float
    requests: set[frozenset[str]]


class CrashLedger:
    """Crashes and answered parts.

    Invariant: a part that was part of an answered request after a crash is no suspect of it.
    """

    def __init__(self) -> None:
        """Starts without evidence."""
        self._crashes: collections.OrderedDict[tuple[str, str, int], _Crash] = (
            collections.OrderedDict()
        )
        self._sound_at: dict[Key, float] = {}
        self._suspects: dict[Key, None] = {}
        self._findings: tuple[Finding, ...] = ()

    def observe_crash(self, note: CrashNote, now: float) -> bool:
        """Records a crash; several entries may report the same one. Tells whether it is news.

        :param note: report of one entry.
        :param now: monotonic seconds.
        """
        self._expire(now)
        requests = {frozenset(parts) for parts in note.requests if parts}
        if not requests:
            return False
        key = (note.service, note.instance, note.incarnation)
        crash = self._crashes.setdefault(key, _Crash(note.service, now - note.age_s, set()))
        fresh = requests - crash.requests
        room = max(0, MAX_REQUESTS - len(crash.requests))
        crash.requests.update(itertools.islice(fresh, room))
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        if fresh:
            self._conclude()
        return bool(fresh)

    def observe_sound(self, sounds: Iterable[SoundPart], now: float) -> bool:
        """Records that requests with some parts were answered. Tells whether one was a suspect.

        :param sounds: report of one entry.
        :param now: monotonic seconds.
        """
        before = self._suspects
        known = [sound for sound in sounds if (sound.service, sound.part) in before]
        for sound in known:
            key = (sound.service, sound.part)
            self._sound_at[key] = max(self._sound_at.get(key, -math.inf), now - sound.age_s)
        if known:
            self._conclude()
        return self._suspects.keys() != before.keys()

    def watched(self) -> dict[str, tuple[str, ...]]:
        """Returns the parts, by service, of which the entries report answered requests."""
        parts_by_service: dict[str, tuple[str, ...]] = {}
        for service, part in itertools.islice(self._suspects, MAX_WATCHED):
            parts_by_service[service] = (*parts_by_service.get(service, ()), part)
        return parts_by_service

    def findings(self) -> tuple[Finding, ...]:
        """Returns what the crashes have in common, if there are enough of them."""
        return self._findings

    def _conclude(self) -> None:
        """Draws the conclusions once for each change of the evidence; they are read often."""
        self._suspects = self._find_suspects()
        self._findings = self._find_common_parts()

    def _find_common_parts(self) -> tuple[Finding, ...]:
        """Finds the parts that explain most crashes first.

        A crash that is explained is no evidence against the other parts of its requests.
        """
        crashes_by_key: dict[Key, list[_Crash]] = {}
        for crash in self._crashes.values():
            for part in frozenset().union(*self._open_requests(crash)):
                crashes_by_key.setdefault((crash.service, part), []).append(crash)
        ranks = sorted(self._rank(key, crashes) for key, crashes in crashes_by_key.items())
        findings: list[Finding] = []
        for _, _, suspect in ranks:
            left = _unexplained(crashes_by_key[suspect], findings)
            if _separate(left) >= MIN_CRASHES:
                findings.append(self._finding(suspect, left))
        return tuple(findings)

    def _rank(self, key: Key, crashes: Sequence[_Crash]) -> tuple[int, int, Key]:
        """Orders suspects: most crashes first, then those of the fewest requests."""
        _, part = key
        requests = sum(part in request for crash in crashes for request in crash.requests)
        return (-_separate(crashes), requests, key)

    def _finding(self, key: Key, crashes: Sequence[_Crash]) -> Finding:
        service, part = key
        last_at = max(crash.at for crash in crashes)
        return Finding(service, self._common_parts(crashes, part), len(crashes), last_at)

    def last_crash(self, service: str, parts: Iterable[str]) -> float:
        """Returns when the newest crash with a request of all these parts was; -inf: never.

        :param service: name of the service.
        :param parts: prompt parts.
        """
        wanted = frozenset(parts)
        return max(
            (
                crash.at
                for crash in self._crashes.values()
                if crash.service == service and any(request >= wanted for request in crash.requests)
            ),
            default=-math.inf,
        )

    def _expire(self, now: float) -> None:
        before = now - MEMORY_S
        old = tuple(key for key, crash in self._crashes.items() if crash.at < before)
        for expired in old:
            self._crashes.pop(expired)
        self._sound_at = {key: at for key, at in self._sound_at.items() if at >= before}

    def _find_suspects(self) -> dict[Key, None]:
        """Returns the suspects of all crashes, those of the newest first."""
        suspects: dict[Key, None] = {}
        for crash in reversed(self._crashes.values()):
            suspected = frozenset().union(*self._open_requests(crash))
            suspects.update(dict.fromkeys((crash.service, part) for part in sorted(suspected)))
        return suspects

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


def _unexplained(crashes: Iterable[_Crash], findings: Iterable[Finding]) -> list[_Crash]:
    return [
        crash for crash in crashes if not any(_explains(finding, crash) for finding in findings)
    ]


def _explains(finding: Finding, crash: _Crash) -> bool:
    return finding.service == crash.service and any(
        request.issuperset(finding.parts) for request in crash.requests
    )
