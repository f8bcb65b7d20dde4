"""Effective values for an organisation, service and route."""

import dataclasses

from geraniumrail.settings.effective import Effective
from geraniumrail.settings.path import chain
from geraniumrail.settings.schema import SCHEMA
from geraniumrail.settings.tree import Tree
from geraniumrail.settings.values import Value

DEFAULT_PATH = 'default'

# One process holds few trees at a time: that of the entry, that of the state machine, and their
# successors. Callers choose route names, so the number of cached requests is bounded as well.
_MAX_TREES = 4
_MAX_REQUESTS = 4096

Values = dict[str, Value]
_DEFAULTS: Values = {setting.key: setting.default for setting in SCHEMA}
_Request = tuple[str, str, str]
_Cache = dict[_Request, Effective]
_cached_by_tree_id: dict[int, tuple[Tree, _Cache]] = {}


@dataclasses.dataclass(frozen=True)
class Explained:
    """An effective value with the node that sets it; path `default` stands for the schema."""

    key: str
    value: Value
    path: str
    version: int


def resolve(tree: Tree, organisation: str, service: str, route: str = '') -> Effective:
    """Returns the effective values.

    :param tree: the settings in force.
    :param organisation: name of the caller's organisation.
    :param service: name of the service.
    :param route: name of the route; empty for the service as a whole.
    """
    cached = _cache_of(tree)
    request = (organisation, service, route)
    effective = cached.get(request)
    if effective is None:
        effective = Effective(**values_of(tree, *request))  # type: ignore[arg-type]
        if len(cached) >= _MAX_REQUESTS:
            cached.clear()
        cached[request] = effective
    return effective


def values_of(tree: Tree, organisation: str, service: str, route: str) -> Values:
    """Returns the effective values by key, without the cache.

    :param tree: the settings in force.
    :param organisation: name of the caller's organisation.
    :param service: name of the service.
    :param route: name of the route; empty for the service as a whole.
    """
    values = dict(_DEFAULTS)
    for path in chain(organisation, service, route):
        node = tree.nodes_by_path.get(path)
        if node is not None:
            values.update(node.values)
    return values


def explain(
    tree: Tree,
    organisation: str,
    service: str,
    route: str = '',
) -> tuple[Explained, ...]:
    """Names the node and version behind each effective value, in the order of the schema.

    :param tree: the settings in force.
    :param organisation: name of the caller's organisation.
    :param service: name of the service.
    :param route: name of the route; empty for the service as a whole.
    """
    found = {
        setting.key: Explained(setting.key, setting.default, DEFAULT_PATH, 0) for setting in SCHEMA
    }
    for path in chain(organisation, service, route):
        node = tree.nodes_by_path.get(path)
        if node is not None:
            found |= {
                key: Explained(key, value, path, node.version) for key, value in node.values.items()
            }
    return tuple(found.values())


def _cache_of(tree: Tree) -> _Cache:
    # The entry keeps the tree alive, so an id in this dictionary is never that of another tree.
    # The revision alone would mix up trees of different groups in one process.
    entry = _cached_by_tree_id.get(id(tree))
    if entry is None:
        if len(_cached_by_tree_id) >= _MAX_TREES:
            _cached_by_tree_id.pop(next(iter(_cached_by_tree_id)))
        entry = (tree, {})
        _cached_by_tree_id[id(tree)] = entry
    return entry[1]
