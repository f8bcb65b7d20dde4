"""Instances of the cloud."""

from geraniumrail.core.codec import record


@record
class CloudInstance:
    """One instance as the cloud API lists it."""

    instance: str
    machine_class: str
    data_centre: str
    reclaimable: bool
    state: str = 'running'  # running | reclaiming | ended
    started_at: float = 0  # wall clock, in seconds
