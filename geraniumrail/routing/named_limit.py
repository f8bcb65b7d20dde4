"""The limit that a backend server named in an answer."""

from geraniumrail.core.codec import record


@record
class NamedLimit:
    """What one entry heard last."""

    instance: str
    per_s: float | None  # requests from all entries together; None: no limit any more
    age_s: float = 0  # since the answer, when the report was sent
