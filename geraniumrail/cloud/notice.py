"""Notices of the cloud."""

from geraniumrail.core.codec import record


@record
class CloudNotice:
    """An announced reclaim of an instance."""

    sequence: int
    instance: str
    kind: str  # reclaim
    at: float  # wall clock of the notice, in seconds
    ends_at: float  # wall clock of the end of the instance, in seconds
