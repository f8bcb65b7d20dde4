"""The settings tree."""

from geraniumrail.core.codec import record
from geraniumrail.settings.node import Node


@record
class Tree:
    """All nodes after `revision` accepted changes; the dictionary is never modified."""

    revision: int
    nodes_by_path: dict[str, Node]

    @classmethod
    def empty(cls) -> 'Tree':
        """Returns the tree before the first change."""
        return cls(revision=0, nodes_by_path={})
