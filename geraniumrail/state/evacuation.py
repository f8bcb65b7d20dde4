"""That a data centre's backend servers get no requests."""

from geraniumrail.core.codec import record


@record
class Evacuation:
    """An evacuation that is in force."""

    data_centre: str
    operator: str
    at: float  # agreed time of day of its start, in seconds since 1970
