"""A kind of request, chosen by host and path."""

from geraniumrail.core.codec import record
from geraniumrail.deployment.share import Share

SAFE = 'safe'  # may run any number of times
UNSAFE = 'unsafe'  # runs at most once for each request id
STREAM = 'stream'  # events as they are made; as unsafe unless it may be resumed
KINDS = frozenset((SAFE, UNSAFE, STREAM))
LEAST_URGENT = 9


@record
class Route:
    """Requests whose host is equal and whose path starts with the prefix."""

    name: str
    host: str
    prefix: str  # starts and ends with a slash
    kind: str
    shares: tuple[Share, ...]
    timeout_s: float  # longest time until the final answer
    target_s: float = 0  # until the answer, or until the first event of a stream
    gap_s: float = 0  # longest pause between events for an answer on time; 0: no limit
    priority: int = 5  # 0 is the most urgent
    attempts: int = 1  # backend servers that one request may be sent to
    anonymous: bool = False  # served without an API key
    sticky: bool = False  # requests share parts of their prompts
    resumable: bool = False  # a stream may go on at another backend server
    allowed_regions: tuple[str, ...] = ()  # where its requests may be handled; empty: anywhere

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)
