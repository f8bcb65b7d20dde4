"""Divides each organisation's limits over the entries by recent demand."""

import collections

from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.links.messages import Usage

DECAY = 0.85  # weight of the past at each report, about six seconds of memory
NEGLIGIBLE_TOKENS = 1e-3


class UsageShares:
    """Decayed demand of each organisation at each entry, with running totals."""

    def __init__(self) -> None:
        """Starts empty."""
        self._demand_by_entry: dict[str, dict[str, float]] = {}
        self._totals: collections.Counter[str] = collections.Counter()

    @property
    def entries(self) -> int:
        """Number of entries that have reported."""
        return max(1, len(self._demand_by_entry))

    def observe(self, entry: str, usage: tuple[Usage, ...]) -> None:
        """Adds the demand of one report interval.

        :param entry: id of the entry.
        :param usage: its demand by organisation.
        """
        past = self._demand_by_entry.get(entry, {})
        decayed = {organisation: tokens * DECAY for organisation, tokens in past.items()}
        for used in usage:
            decayed[used.organisation] = decayed.get(used.organisation, 0) + used.tokens
        kept = {name: tokens for name, tokens in decayed.items() if tokens > NEGLIGIBLE_TOKENS}
        self._totals.subtract(past)
        self._totals.update(kept)
        self._demand_by_entry[entry] = kept

    def forget(self, entry: str) -> None:
        """Drops an entry.

        :param entry: id of the entry.
        """
        self._totals.subtract(self._demand_by_entry.pop(entry, {}))

    def share(self, entry: str) -> EntryShare:
        """Returns the part of each organisation's limits that an entry may hand out.

        :param entry: id of the entry.
        """
        # The stream of a forgotten entry may still be open.
        mine = self._demand_by_entry.get(entry, {})
        return EntryShare(
            entries=self.entries,
            share_by_organisation={
                name: min(1.0, mine.get(name, 0) / total)
                for name, total in self._totals.items()
                if total > NEGLIGIBLE_TOKENS
            },
        )
