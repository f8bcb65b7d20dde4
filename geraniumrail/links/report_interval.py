"""How often an entry reports to the control leader."""

# A few entries report more often, so that they notice a lost leader well within their lease; many
# would take too much of the leader's processor.
LONGEST_INTERVAL_S = 1.0
SHORTEST_INTERVAL_S = 0.5
INTERVAL_FOR_EACH_ENTRY_S = 0.02


def report_interval_s(entries: int) -> float:
    """Returns the seconds between two reports of one entry.

    :param entries: number of entries.
    """
    wanted = max(SHORTEST_INTERVAL_S, INTERVAL_FOR_EACH_ENTRY_S * entries)
    return min(LONGEST_INTERVAL_S, wanted)
