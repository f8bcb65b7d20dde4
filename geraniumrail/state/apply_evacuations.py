"""Evacuations of data centres: compare-and-set by the number of the last change."""

from geraniumrail.state import results
from geraniumrail.state.apply import apply
from geraniumrail.state.evacuation import Evacuation
from geraniumrail.state.set_evacuation import SetEvacuation
from geraniumrail.state.tables import Tables

# For which the end of an evacuation is kept; longer than backend servers stay cold after it.
END_RETENTION_S = 60.0


@apply.register
def _set(command: SetEvacuation, tables: Tables) -> object:
    in_force = command.data_centre in tables.evacuations_by_data_centre
    is_current = command.after == tables.last_evacuation_change
    if is_current and in_force != command.evacuated:
        tables.last_evacuation_change += 1
        ends = recent_ends(tables, command.at)
        if command.evacuated:
            ends.pop(command.data_centre, None)
            tables.evacuations_by_data_centre[command.data_centre] = Evacuation(
                data_centre=command.data_centre, operator=command.operator, at=command.at
            )
        else:
            tables.evacuations_by_data_centre.pop(command.data_centre)
            ends[command.data_centre] = command.at
        tables.evacuation_ends_by_data_centre = ends
    return results.EvacuationSet(
        data_centre=command.data_centre,
        evacuated=command.data_centre in tables.evacuations_by_data_centre,
        number=tables.last_evacuation_change,
        is_current=is_current,
    )


def recent_ends(tables: Tables, at: float) -> dict[str, float]:
    """Returns when evacuations ended in the last minute, as agreed time, by data centre.

    :param tables: replicated state.
    :param at: agreed time of day in seconds since 1970.
    """
    return {
        data_centre: ended_at
        for data_centre, ended_at in tables.evacuation_ends_by_data_centre.items()
        if at <= ended_at + END_RETENTION_S
    }
