"""A request that waits in the fair queue."""

import dataclasses

# The other half of the bound is left for waiting in the promoted position and for the answer.
PROMOTE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueItem:
    """What the queue needs to know of a request."""

    item_id: str
    organisation: str
    traffic_class: str
    tokens: float  # estimate of prompt and answer tokens
    weight: float = 1
    bound_s: float | None = None  # completion bound, counted from `push`
    queue_limit: int = 1000  # waiting items of the organisation
    resumed: bool = False  # accepted before: never refused, and ahead of new items of its class

    @property
    def share_tokens(self) -> float:
        """Tokens for a weight of 1."""
        return self.tokens / self.weight
