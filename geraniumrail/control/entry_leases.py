"""Settings leases of the entries: soft state of the control leader."""

import dataclasses
from collections.abc import Iterable

from geraniumrail.control import events
from geraniumrail.core.events import log
from geraniumrail.links.messages import EntryInfo

LEASE_S = 4.0  # an entry that was not answered for so long stops serving
LEASE_MARGIN_S = 0.25  # difference of clock rates and of the two ends' rounding


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
    """Which entries may serve, and which revision each has applied."""

    def __init__(self) -> None:
        """Starts empty."""
        self.leases_by_entry: dict[str, EntryLease] = {}
        self._leader_since: float | None = None
        self._public: tuple[EntryInfo, ...] = ()
        self._public_key: tuple[object, ...] = ()
        self._changes = 0

    def reset(self, now: float) -> None:
        """Forgets all leases: this process has just become the leader.

        :param now: monotonic seconds.
        """
        self.leases_by_entry = {}
        self._leader_since = now
        self._changes += 1

    def renew(self, info: EntryInfo, now: float, holds_lease: bool) -> None:
        """Records a report.

        :param info: the entry.
        :param now: monotonic seconds.
        :param holds_lease: whether the entry says that it may serve.
        """
        known = self.leases_by_entry.get(info.entry)
        if known is None:
            log(
                events.ENTRY_JOINED, entry=info.entry, address=info.address, holds_lease=holds_lease
            )
        if known is None or (known.info.state, known.holds_lease) != (info.state, holds_lease):
            self._changes += 1
        expires_at = now + LEASE_S + LEASE_MARGIN_S
        self.leases_by_entry[info.entry] = EntryLease(info, expires_at, holds_lease)

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes and returns the entries whose lease ran out.

        :param now: monotonic seconds.
        """
        expired = tuple(
            entry for entry, lease in self.leases_by_entry.items() if lease.expires_at < now
        )
        for entry in expired:
            self.leases_by_entry.pop(entry)
            self._changes += 1
            log(events.ENTRY_EXPIRED, entry=entry)
        return expired

    def knows_all_leases(self, now: float) -> bool:
        """Tells whether every entry with a lease is known to this leader.

        A lease that an earlier leader granted ends at most one lease after its leadership.

        :param now: monotonic seconds.
        """
        if self._leader_since is None:
            return False
        return now >= self._leader_since + LEASE_S + LEASE_MARGIN_S

    def is_in_force(self, revision: int, now: float) -> bool:
        """Tells whether no entry can serve an older revision any more.

        :param revision: settings revision.
        :param now: monotonic seconds.
        """
        held = (lease for lease in self.leases_by_entry.values() if lease.expires_at >= now)
        return self.knows_all_leases(now) and all(
            lease.info.applied_revision >= revision for lease in held
        )

    def entries(self) -> tuple[EntryInfo, ...]:
        """Returns the entries with a lease."""
        return tuple(lease.info for lease in self.leases_by_entry.values())

    def public_entries(self, drained: Iterable[str] = ()) -> tuple[EntryInfo, ...]:
        """Returns the serving entries without what changes with each report.

        The same tuple is returned until an entry joins, leaves or changes its state: building it
        for each update to each entry took a third of the leader's time at 160 entries.

        :param drained: instances that operators are draining.
        """
        key = (self._changes, *drained)
        if key != self._public_key:
            self._public_key = key
            self._public = tuple(
                dataclasses.replace(info, state='serving', applied_revision=0)
                for info in self.serving_entries(drained)
            )
        return self._public

    def serving_entries(self, drained: Iterable[str] = ()) -> tuple[EntryInfo, ...]:
        """Returns the entries that take new work.

        An entry that has just started has reported, but refuses until it has taken an update.

        :param drained: instances that operators are draining.
        """
        skipped = frozenset(drained)
        return tuple(
            lease.info
            for lease in self.leases_by_entry.values()
            if lease.holds_lease
            and lease.info.state == 'serving'
            and lease.info.instance not in skipped
        )
