"""Capacity that a service needs."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Tokens per second to answer within the latency target."""

    service: str
    tokens_per_s: float
