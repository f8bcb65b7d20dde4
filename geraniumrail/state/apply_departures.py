"""Departures of backend servers: recorded, and removed by age and number."""

import dataclasses
import itertools

from geraniumrail.core.departure import Departure
from geraniumrail.state import results
from geraniumrail.state.apply import apply
from geraniumrail.state.record_departures import RecordDepartures
from geraniumrail.state.tables import Tables

# Longer than the delay of any announcement in transit. A deregistration that doesn't name the start
# of its sender may be late itself and concern an earlier start, so this is also the longest time
# for which a running backend server can be kept out by mistake.
DEPARTURE_RETENTION_S = 60.0
# Several times the backend servers of the largest deployment, which may all be replaced at once.
MAX_DEPARTURES = 4096


@apply.register
def _record(command: RecordDepartures, tables: Tables) -> object:
    departures = tables.departures_by_instance
    for departure in command.added:
        known = departures.get(departure.instance)
        if known is not None and known.freshness >= departure.freshness:
            continue
        departures.pop(departure.instance, None)  # goes to the end of the order
        tables.last_departure += 1
        departures[departure.instance] = dataclasses.replace(
            departure, number=tables.last_departure
        )
    surplus = max(0, len(departures) - MAX_DEPARTURES)
    oldest = tuple(itertools.islice(departures, surplus))
    expired = tuple(
        itertools.takewhile(
            lambda instance: is_expired(departures[instance], command.at), departures
        )
    )
    for instance in max(oldest, expired, key=len):
        departures.pop(instance)
    return results.DeparturesRecorded(last=tables.last_departure)


def is_expired(departure: Departure, at: float) -> bool:
    """Returns whether no message that the departure makes outdated is in transit any more.

    :param departure: a recorded departure.
    :param at: agreed time of day in seconds since 1970.
    """
    return departure.at + DEPARTURE_RETENTION_S < at
