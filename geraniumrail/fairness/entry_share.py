"""Share of each organisation's limits that one entry may use."""

import collections
import dataclasses
from collections.abc import Mapping

from geraniumrail.core.codec import record


@record
class EntryShare:
    """Sent to each entry once a second."""

    entries: int  # number of entries in service
    share_by_organisation: dict[str, float]  # share of the recent demand, 0 to 1
    # Mean cost of the requests of organisations whose limits are scarce.
    scarce_means: dict[str, float] = dataclasses.field(default_factory=dict)


def divide_by_demand(demand_by_entry: Mapping[str, Mapping[str, float]]) -> dict[str, EntryShare]:
    """Returns each entry's share of the demand of every organisation.

    :param demand_by_entry: entry -> organisation -> tokens requested recently, refused ones
        included; entries without demand are present with an empty mapping.
    """
    totals: collections.Counter[str] = collections.Counter()
    for each in demand_by_entry.values():
        totals.update(each)
    return {
        entry: EntryShare(
            entries=len(demand_by_entry),
            share_by_organisation=_shares(demand, totals),
        )
        for entry, demand in demand_by_entry.items()
    }


def _shares(demand: Mapping[str, float], totals: Mapping[str, float]) -> dict[str, float]:
    return {name: tokens / totals[name] for name, tokens in demand.items() if tokens > 0}
