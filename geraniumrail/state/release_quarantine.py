"""A command of the replicated state machine: an operator ends a quarantine."""

from geraniumrail.core.codec import record


@record
class ReleaseQuarantine:
    """Ends a quarantine; a repeated `release_id` changes nothing.

    Crashes before `at` start no quarantine of the same parts again.
    """

    release_id: str
    label: str
    operator: str
    at: float  # time of day
