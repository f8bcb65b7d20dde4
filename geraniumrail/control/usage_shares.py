"""Divides each organisation's limits over the entries by recent demand."""

from geraniumrail.fairness.entry_share import EntryShare, divide
from geraniumrail.links.messages import Usage

DECAY = 0.7  # weight of the past at each report, about three seconds of memory
NEGLIGIBLE_TOKENS = 1e-3


class UsageShares:
    """Decayed demand of each organisation at each entry."""

    def __init__(self) -> None:
        """Starts empty."""
        self._demand_by_entry: dict[str, dict[str, float]] = {}

    def observe(self, entry: str, usage: tuple[Usage, ...]) -> None:
        """Adds the demand of one report interval.

        :param entry: id of the entry.
        :param usage: its demand by organisation.
        """
        past = self._demand_by_entry.get(entry, {})
        decayed = {organisation: tokens * DECAY for organisation, tokens in past.items()}
        for used in usage:
            decayed[used.organisation] = decayed.get(used.organisation, 0) + used.tokens
        self._demand_by_entry[entry] = {
            organisation: tokens
            for organisation, tokens in decayed.items()
            if tokens > NEGLIGIBLE_TOKENS
        }

    def forget(self, entry: str) -> None:
        """Drops an entry.

        :param entry: id of the entry.
        """
        self._demand_by_entry.pop(entry, None)

    def share(self, entry: str) -> EntryShare:
        """Returns the part of each organisation's limits that an entry may hand out.

        :param entry: id of the entry.
        """
        # The lease of an entry may run out while its stream is open.
        return divide({entry: {}, **self._demand_by_entry})[entry]
