"""A change of an engine's prefix cache."""

from geraniumrail.core.codec import record


@record
class CacheEvent:
    """Published late and with gaps in `sequence`; a hint, never a fact."""

    sequence: int
    prefix: str  # digest of the prefix
    added: bool  # False: evicted
