"""Load that a backend server reports about itself."""

from geraniumrail.core.codec import record


@record
class LoadReport:
    """Load at the time of measurement; it reaches an entry with a lag."""

    running: int = 0  # requests being worked on
    queued: int = 0  # requests waiting in the backend server
    slots: int = 8  # requests that can run at once
    queued_tokens: int = 0  # prompt and answer tokens still to do
    tokens_per_s: float = 0
    kv_used: float = 0  # share of KV memory, 0 to 1
    age_s: float = 0  # between measurement and sending
    work_factor: float = 1  # how long work takes on its machine now; 1: as usual
