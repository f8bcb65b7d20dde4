"""Divides each organisation's limits over the entries by recent demand."""

import collections

from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.links.messages import Usage

REPORT_DECAY = 0.85  # factor for past demand at each report; a time constant of about 6 s
NEGLIGIBLE_TOKENS = 1e-3


class UsageShares:
    """Exponentially decaying demand of each organisation at each entry, with running totals."""

    def __init__(self) -> None:
        """Starts empty."""
        self.scarce_means: dict[str, float] = {}  # told to all entries
        self._demand_by_entry: dict[str, dict[str, float]] = {}
        self._total_by_organisation: collections.Counter[str] = collections.Counter()

    @property
    def entries(self) -> int:
        """Number of entries that have reported."""
        return max(1, len(self._demand_by_entry))

    def observe(self, entry: str, usage: tuple[Usage, ...]) -> None:
        """Adds the demand since the last report of an entry.

        :param entry: id of the entry.
        :param usage: its demand by organisation.
        """
        past = self._demand_by_entry.get(entry, {})
        decayed = {organisation: tokens * REPORT_DECAY for organisation, tokens in past.items()}
        for used in usage:
            decayed[used.organisation] = decayed.get(used.organisation, 0) + used.tokens
        kept = {name: tokens for name, tokens in decayed.items() if tokens > NEGLIGIBLE_TOKENS}
        self._total_by_organisation.subtract(past)
        self._total_by_organisation.update(kept)
        self._demand_by_entry[entry] = kept

    def remove(self, entry: str) -> None:
        """Removes the demand of an entry.

        :param entry: id of the entry.
        """
        self._total_by_organisation.subtract(self._demand_by_entry.pop(entry, {}))

    def share(self, entry: str) -> EntryShare:
        """Returns the part of each organisation's limits that an entry may use.

        :param entry: id of the entry.
        """
        # The stream of a removed entry may still be open.
        demand = self._demand_by_entry.get(entry, {})
        return EntryShare(
            entries=self.entries,
            share_by_organisation={
                name: min(1.0, demand.get(name, 0) / total)
                for name, total in self._total_by_organisation.items()
                if total > NEGLIGIBLE_TOKENS
            },
            scarce_means=self.scarce_means,
        )
