"""Changes of the settings tree."""

from geraniumrail.core.codec import record
from geraniumrail.errors.settings import VersionConflictError
from geraniumrail.settings.combinations import check_tree
from geraniumrail.settings.node import Node
from geraniumrail.settings.path import Path
from geraniumrail.settings.schema import SETTINGS_BY_KEY
from geraniumrail.settings.setting import check_key
from geraniumrail.settings.tree import Tree
from geraniumrail.settings.values import Value


@record
class Change:
    """A compare-and-set of some keys of one node; None removes an override.

    `expected_version` is 0 for a node that does not exist yet.
    """

    change_id: str
    path: str
    expected_version: int
    values: dict[str, Value | None]
    operator: str


def apply_change(tree: Tree, change: Change) -> Tree:
    """Returns the tree after the change; the given tree is not modified.

    :param tree: the tree before the change.
    :param change: what an operator asks for.
    :raises BadPathError: if the path is malformed.
    :raises VersionConflictError: if another change won at the expected version.
    :raises UnknownSettingError: if a key is not in the schema.
    :raises WrongSettingTypeError: if a value has the wrong type.
    :raises SettingRangeError: if a value is out of range.
    :raises SettingCombinationError: if a key has no meaning at this node, or if effective values
        at the node or at a node that inherits from it contradict each other.
    """
    Path.parse(change.path)
    node = _node_before(tree, change)
    asked = {key: _checked(change.path, key, value) for key, value in sorted(change.values.items())}
    merged = sorted((node.values | asked).items())
    changed = Node(
        path=change.path,
        version=node.version + 1,
        values={key: value for key, value in merged if value is not None},
        change_id=change.change_id,
        operator=change.operator,
    )
    after = Tree(
        revision=tree.revision + 1,
        nodes_by_path=tree.nodes_by_path | {change.path: changed},
    )
    check_tree(after, change.path, change.values)
    return after


def _node_before(tree: Tree, change: Change) -> Node:
    node = tree.nodes_by_path.get(change.path) or Node(
        path=change.path,
        version=0,
        values={},
        change_id='',
        operator='',
    )
    if node.version != change.expected_version:
        raise VersionConflictError(
            node=change.path,
            version=node.version,
            winner=node.change_id,
            operator=node.operator,
            expected=change.expected_version,
        )
    return node


def _checked(path: str, key: str, value: Value | None) -> Value | None:
    setting = check_key(SETTINGS_BY_KEY, path, key)
    setting.check_level(path, Path.parse(path).level)
    return None if value is None else setting.check(path, value)
