"""Expected present load of one backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Reported load, weighted by its age, plus what the entry sent since the report."""

    requests: float  # running and waiting
    slots: int
    backlog_tokens: float
    tokens_per_s: float
    kv_used: float
    penalty_s: float
    slowness: float = 1  # how long work takes now, relative to the other backend servers
    work_s: float | None = None  # learned time of a plain answer at the usual speed

    @property
    def occupancy(self) -> float:
        """Requests per slot."""
        return self.requests / max(1, self.slots)
