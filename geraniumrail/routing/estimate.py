"""Load of one backend server as an entry expects it now."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Reported load, decayed, plus what the entry sent since."""

    requests: float  # running and waiting
    slots: int
    backlog_tokens: float
    tokens_per_s: float
    kv_used: float
    penalty_s: float

    @property
    def occupancy(self) -> float:
        """Requests for each slot."""
        return self.requests / max(1, self.slots)
