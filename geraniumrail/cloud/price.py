"""Prices of instances."""

from geraniumrail.core.codec import record


@record
class Price:
    """Price of one machine class in one data centre."""

    machine_class: str
    data_centre: str
    reclaimable_per_h: float
    on_demand_per_h: float
