"""Begins and ends the quarantines of prompt parts and requests; a job of the leader."""

import dataclasses
from collections.abc import Callable, Sequence

from geraniumrail.control.proposer import Proposer
from geraniumrail.control.publisher import Publisher
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.links.messages import EntryReport
from geraniumrail.quarantine import events
from geraniumrail.quarantine.crash_ledger import Finding
from geraniumrail.quarantine.fingerprint import is_fingerprint
from geraniumrail.quarantine.held_back import REPORT_AGAIN_S
from geraniumrail.quarantine.part_watch import TRIAL_TURN_S
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.state.machine import Machine
from geraniumrail.state.set_quarantines import SetQuarantines

# What was held back may only have stood beside the cause, so the first trial is early. A failed one
# ends all requests of an engine, so the next ones are rare and become rarer.
EARLY_S = 5.0
FIRST_S = 300.0
UNUSED_S = 1800.0  # nobody has sent such a request for so long after a trial was due
# Entries repeat to a new leader within this time which quarantines were met.
HEARD_S = 2 * REPORT_AGAIN_S
MAX_QUARANTINES = 64


class Quarantines:
    """The quarantines are in the replicated log; the evidence is kept by the entries too."""

    name = 'quarantines'

    def __init__(
        self,
        machine: Machine,
        publisher: Publisher,
        proposer: Proposer,
        clock: Clock,
        wall: Callable[[], float],
    ) -> None:
        """Connects the parts.

        :param machine: replicated state.
        :param publisher: has the evidence, and tells the entries.
        :param proposer: proposes commands.
        :param clock: time.
        :param wall: time of day that the processes agree on.
        """
        self._machine = machine
        self._publisher = publisher
        self._proposer = proposer
        self._clock = clock
        self._wall = wall
        self._answered_at: dict[tuple[str, str], float] = {}  # time of day, by service and part
        self._met_at: dict[str, float] = {}  # time of day of the last request, by label
        self._leader_since = clock.now()
        publisher.report_sinks.append(self)

    def became_leader(self) -> None:
        """Drops the evidence; the entries repeat theirs."""
        self._answered_at = {}
        self._met_at = {}
        self._leader_since = self._clock.now()

    def observe(self, report: EntryReport, now: float) -> None:
        """Notes answers to requests with parts that are in quarantine, and requests held back.

        :param report: the report of an entry.
        :param now: monotonic seconds.
        """
        for sound in report.sounds:
            key = (sound.service, sound.part)
            began_at = self._wall() - sound.age_s
            self._answered_at[key] = max(began_at, self._answered_at.get(key, 0))
        for label, age_s in report.held_back.items():
            self._met_at[label] = max(self._wall() - age_s, self._met_at.get(label, 0))

    async def run_once(self) -> None:
        """Records what has changed in the log."""
        held = self._machine.tables.quarantines_by_label
        removed = [label for label, each in held.items() if self._is_over(each)]
        kept = [
            *(each for label, each in held.items() if label not in removed),
            *(less for each in held.values() if (less := self._narrowed(each))),
        ]
        begun, evicted = self._begun(kept)
        renewed = [self._renewed(each) or each for each in held.values()]
        added = [each for each in (*kept, *renewed) if each not in held.values()]
        self._grant_trials()
        await self._propose((*added, *begun), (*removed, *evicted))
        self._forget()

    def _forget(self) -> None:
        """Drops what is known of quarantines that have ended."""
        held = self._machine.tables.quarantines_by_label
        parts = {(each.service, part) for each in held.values() for part in each.parts}
        self._answered_at = {key: at for key, at in self._answered_at.items() if key in parts}
        self._met_at = {label: at for label, at in self._met_at.items() if label in held}

    async def _propose(self, added: tuple[Quarantine, ...], removed: tuple[str, ...]) -> None:
        if added or removed:
            await self._proposer.propose(SetQuarantines(added=added, removed=removed))

    def _begun(self, kept: Sequence[Quarantine]) -> tuple[tuple[Quarantine, ...], tuple[str, ...]]:
        """Returns new quarantines, and the labels of those that leave their places to them."""
        held = self._machine.tables.quarantines_by_label
        found = self._found((*held.values(), *kept))
        evicted = self._evicted(kept, len(found))
        begun = found[: max(0, MAX_QUARANTINES - len(kept) + len(evicted))]
        for quarantine in begun:
            _log_start(quarantine)
        return tuple(begun), evicted

    def _evicted(self, kept: Sequence[Quarantine], found: int) -> tuple[str, ...]:
        """Returns the oldest quarantines without trials, if new ones need their places."""
        excess = max(0, len(kept) + found - MAX_QUARANTINES)
        finals = (each for each in kept if each.is_final)
        evicted = sorted(finals, key=lambda each: each.since)[:excess]
        for quarantine in evicted:
            log(events.RELEASED, quarantine=quarantine.label, reason='evicted')
        return tuple(each.label for each in evicted)

    def _found(self, held: tuple[Quarantine, ...]) -> list[Quarantine]:
        releases = self._machine.tables.releases_by_id.values()
        new = (
            self._from_finding(found)
            for found in self._publisher.crash_ledger.findings()
            if not any(each.covers(found.service, frozenset(found.parts)) for each in held)
        )
        return [each for each in new if not any(release.ends(each) for release in releases)]

    def _from_finding(self, found: Finding) -> Quarantine:
        wall = self._wall()
        return Quarantine(
            service=found.service,
            parts=found.parts,
            since=wall - self._clock.now() + found.last_at,
            until=wall + EARLY_S,
        )

    def _renewed(self, quarantine: Quarantine) -> Quarantine | None:
        """Returns the quarantine after a trial that has failed, or None."""
        wall = self._wall()
        last_at = self._publisher.crash_ledger.last_crash(quarantine.service, quarantine.parts)
        crashed_at = wall - self._clock.now() + last_at
        is_due = wall >= quarantine.until and not quarantine.is_final
        if not is_due or crashed_at < quarantine.until:
            return None
        renewed = dataclasses.replace(
            quarantine,
            since=crashed_at,
            until=wall + FIRST_S * 2 ** (quarantine.failures - 1),
            failures=quarantine.failures + 1,
        )
        _log_start(renewed)
        return renewed

    def _is_over(self, quarantine: Quarantine) -> bool:
        if self._is_unused(quarantine):
            log(events.RELEASED, quarantine=quarantine.label, reason='unused')
            return True
        if self._is_refuted(quarantine):
            log(events.RELEASED, quarantine=quarantine.label, reason='refuted')
            return True
        if self._answered(quarantine):
            log(events.RELEASED, quarantine=quarantine.label, reason='answered')
            return True
        return False

    def _is_unused(self, quarantine: Quarantine) -> bool:
        """Returns whether no entry has had such a request for long, with a trial or without one."""
        is_heard = self._clock.now() >= self._leader_since + HEARD_S
        if quarantine.is_final or not is_heard:
            return False
        met_at = self._met_at.get(quarantine.label, 0)
        return self._wall() >= max(quarantine.until, met_at) + UNUSED_S

    def _is_refuted(self, quarantine: Quarantine) -> bool:
        """Returns whether later evidence explains the crashes that a request was held back for."""
        return any(map(is_fingerprint, quarantine.parts)) and (
            self._publisher.crash_ledger.is_refuted(quarantine.service, quarantine.parts)
        )

    def _narrowed(self, quarantine: Quarantine) -> Quarantine | None:
        """Returns the quarantine without the parts that have been answered, or None."""
        answered = self._answered(quarantine)
        left = tuple(part for part in quarantine.parts if part not in answered)
        return dataclasses.replace(quarantine, parts=left) if answered and left else None

    def _answered(self, quarantine: Quarantine) -> frozenset[str]:
        return frozenset(
            part
            for part in quarantine.parts
            if self._answered_at.get((quarantine.service, part), 0) > quarantine.since
        )

    def _grant_trials(self) -> None:
        wall = self._wall()
        entries = sorted(info.entry for info in self._publisher.leases.entries())
        trials_by_entry: dict[str, tuple[str, ...]] = {}
        for label, quarantine in self._machine.tables.quarantines_by_label.items():
            overdue_s = wall - quarantine.until
            if overdue_s >= 0 and entries and not quarantine.is_final:
                entry = entries[int(overdue_s / TRIAL_TURN_S) % len(entries)]
                trials_by_entry[entry] = (*trials_by_entry.get(entry, ()), label)
        if trials_by_entry != self._publisher.trials_by_entry:
            self._publisher.trials_by_entry = trials_by_entry
            self._publisher.wake_sessions()


def _log_start(quarantine: Quarantine) -> None:
    log(
        events.FINAL if quarantine.is_final else events.QUARANTINED,
        quarantine=quarantine.label,
        failures=quarantine.failures,
        until=round(quarantine.until),
    )
