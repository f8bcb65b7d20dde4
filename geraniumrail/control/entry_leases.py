"""Leases of the entries, which permit them to serve: soft state of the control leader."""

import dataclasses
from collections.abc import Iterable

from geraniumrail.control import events
from geraniumrail.core.events import log
from geraniumrail.links.messages import EntryInfo

LEASE_S = 4.0  # an entry stops serving this long after its last answered report
LEASE_MARGIN_S = 0.25  # for different clock rates and the rounding at both ends


@dataclasses.dataclass(frozen=True)
class EntryLease:
    """The newest report of one entry.

    Invariant: `expires_at` is never earlier than the end of the lease by the entry's own clock,
    because the entry counts from sending the report and the leader from receiving it.
    """

    info: EntryInfo
    expires_at: float
    holds_lease: bool  # the entry has reported that it may serve


class EntryLeases:
    """The entries that may serve, and the settings revision that each has applied."""

    def __init__(self) -> None:
        """Starts empty."""
        self.leases_by_entry: dict[str, EntryLease] = {}
        self._leader_since: float | None = None
        self._public_entries: tuple[EntryInfo, ...] = ()
        self._public_entries_key: tuple[object, ...] = ()
        self._change_count = 0

    def reset(self, now: float) -> None:
        """Drops all leases: this process has just become the leader.

        :param now: monotonic seconds.
        """
        self.leases_by_entry = {}
        self._leader_since = now
        self._change_count += 1

    def renew(self, info: EntryInfo, now: float, holds_lease: bool) -> None:
        """Renews the lease of an entry that has reported.

        :param info: the entry.
        :param now: monotonic seconds.
        :param holds_lease: whether the entry has reported that it may serve.
        """
        known = self.leases_by_entry.get(info.entry)
        if known is None:
            log(
                events.ENTRY_JOINED, entry=info.entry, address=info.address, holds_lease=holds_lease
            )
        if known is None or (known.info.state, known.holds_lease) != (info.state, holds_lease):
            self._change_count += 1
        expires_at = now + LEASE_S + LEASE_MARGIN_S
        self.leases_by_entry[info.entry] = EntryLease(info, expires_at, holds_lease)

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes and returns the entries whose lease expired.

        :param now: monotonic seconds.
        """
        expired = tuple(
            entry for entry, lease in self.leases_by_entry.items() if lease.expires_at < now
        )
        for entry in expired:
            self.leases_by_entry.pop(entry)
            self._change_count += 1
            log(events.ENTRY_EXPIRED, entry=entry)
        return expired

    def silent(self, now: float, longer_than_s: float) -> int:
        """Returns the number of entries that may serve callers, but have not reported for a time.

        :param now: monotonic seconds.
        :param longer_than_s: seconds.
        """
        reported_before = now - longer_than_s + LEASE_S + LEASE_MARGIN_S
        leases = self.leases_by_entry.values()
        # An earlier process of an instance that reports again has ended, and callers have left an
        # entry that stops as planned.
        idle = {
            lease.info.instance
            for lease in leases
            if lease.expires_at >= reported_before or lease.info.state == 'leaving'
        }
        return sum(lease.info.instance not in idle for lease in leases)

    def knows_all_leases(self, now: float) -> bool:
        """Returns whether every entry with a lease is known to this leader.

        Leases granted by an earlier leader have expired one lease after this leadership began.

        :param now: monotonic seconds.
        """
        if self._leader_since is None:
            return False
        return now >= self._leader_since + LEASE_S + LEASE_MARGIN_S

    def is_in_force(self, revision: int, now: float) -> bool:
        """Returns whether no entry can serve an older revision any more.

        :param revision: settings revision.
        :param now: monotonic seconds.
        """
        valid_leases = (lease for lease in self.leases_by_entry.values() if lease.expires_at >= now)
        return self.knows_all_leases(now) and all(
            lease.info.applied_revision >= revision for lease in valid_leases
        )

    def entries(self) -> tuple[EntryInfo, ...]:
        """Returns the entries with a lease."""
        return tuple(lease.info for lease in self.leases_by_entry.values())

    def public_entries(self, drained: Iterable[str] = ()) -> tuple[EntryInfo, ...]:
        """Returns the serving entries without the fields that change with each report.

        The tuple is cached until an entry joins, leaves or changes its state: building it for each
        update to each entry took a third of the leader's time at 160 entries.

        :param drained: instances that operators are draining.
        """
        key = (self._change_count, *drained)
        if key != self._public_entries_key:
            self._public_entries_key = key
            self._public_entries = tuple(
                dataclasses.replace(info, state='serving', applied_revision=0)
                for info in self.serving_entries(drained)
            )
        return self._public_entries

    def serving_entries(self, drained: Iterable[str] = ()) -> tuple[EntryInfo, ...]:
        """Returns the entries that accept new work.

        An entry that has just started has reported, but refuses requests until it has applied an
        update.

        :param drained: instances that operators are draining.
        """
        excluded = frozenset(drained)
        return tuple(
            lease.info
            for lease in self.leases_by_entry.values()
            if lease.holds_lease
            and lease.info.state == 'serving'
            and lease.info.instance not in excluded
        )
