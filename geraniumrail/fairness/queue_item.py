"""A request that waits in the fair queue."""

import dataclasses

# Share of the completion bound after which an item loses its tag offset. The rest of the bound is
# for waiting without the offset and for the answer.
PROMOTE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueItem:
    """Attributes of a request that decide its place in the queue."""

    item_id: str
    organisation: str
    traffic_class: str
    tokens: float  # estimate of prompt and answer tokens
    weight: float = 1
    completion_bound_s: float | None = None  # from `push` to the end of the answer
    queue_limit: int = 1000  # most waiting items of the organisation
    resumed: bool = False  # accepted before: never refused, and ahead of new items of its class

    @property
    def weighted_tokens(self) -> float:
        """Tokens divided by the weight of the organisation."""
        return self.tokens / self.weight
