"""One node of the settings tree."""

from geraniumrail.core.codec import record
from geraniumrail.settings.values import Value


@record
class Node:
    """Overrides at one path; `change_id` and `operator` name the last change.

    A node without overrides is kept, so that its version never starts again.
    """

    path: str
    version: int
    values: dict[str, Value]
    change_id: str
    operator: str
