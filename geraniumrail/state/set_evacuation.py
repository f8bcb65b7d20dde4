"""A command of the replicated state machine: which data centres get no requests."""

from geraniumrail.core.codec import record


@record
class SetEvacuation:
    """Starts or ends the evacuation of a data centre, unless there was another change since."""

    data_centre: str
    evacuated: bool
    after: int  # number of the last change that the proposer has read
    operator: str
    at: float  # agreed time of day of the proposer
