"""The answer of a booking as it is kept in the log."""

from geraniumrail.core.codec import record


@record
class StoredAnswer:
    """What the backend server answered, or why there is no answer."""

    status: int
    content_type: str = ''
    body: bytes = b''
    reason: str = ''  # for the outcomes not_run and outcome_unknown
