"""The membership changes in a log."""

from collections.abc import Iterable

from geraniumrail.consensus.entry import Entry, Snapshot
from geraniumrail.consensus.membership import Membership
from geraniumrail.core import codec


class MembershipHistory:
    """Memberships by position; the newest is in force even before it is committed."""

    def __init__(self, snapshot: Snapshot) -> None:
        """Creates the history.

        :param snapshot: contains the oldest membership that is needed.
        """
        self._changes = [(snapshot.index, snapshot.membership)]

    @property
    def newest(self) -> Membership:
        """The membership in force."""
        return self._changes[-1][1]

    @property
    def newest_index(self) -> int:
        """Position of the membership in force."""
        return self._changes[-1][0]

    def at(self, index: int) -> Membership:
        """Returns the membership at a position.

        :param index: position at or after the snapshot.
        """
        return [membership for changed, membership in self._changes if changed <= index][-1]

    def add(self, entries: Iterable[Entry]) -> None:
        """Adds the memberships among new entries.

        :param entries: in order; entries that the snapshot includes are skipped.
        """
        start = self._changes[0][0]
        self._changes.extend(
            (entry.index, codec.decode(entry.payload))
            for entry in entries
            if entry.kind == 'membership' and entry.index > start
        )

    def truncate(self, first: int) -> None:
        """Drops the memberships of entries that are replaced.

        :param first: position of the first entry that is replaced.
        """
        self._changes = [change for change in self._changes if change[0] < first]

    def compact(self, snapshot: Snapshot) -> None:
        """Drops the memberships before a snapshot.

        :param snapshot: the new snapshot.
        """
        newer = (change for change in self._changes if change[0] > snapshot.index)
        self._changes = [(snapshot.index, snapshot.membership), *newer]
