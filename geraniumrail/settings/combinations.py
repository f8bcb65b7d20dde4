"""Combinations of values that can't stand together."""

import dataclasses
from collections.abc import Collection, Iterable, Iterator
from itertools import chain as concatenate

from geraniumrail.errors.settings import SettingCombinationError
from geraniumrail.settings.path import ROOT, SHARED, Path
from geraniumrail.settings.resolve import Explained, explain
from geraniumrail.settings.tree import Tree

_Found = dict[str, Explained]

# (smaller, larger): a limit below what it has to leave room for never holds or always fires.
_ORDERED = (
    ('first_token_ms', 'first_token_timeout_ms'),
    ('between_tokens_ms', 'between_tokens_timeout_ms'),
    ('first_token_timeout_ms', 'deadline_ms'),
    ('between_tokens_timeout_ms', 'deadline_ms'),
)
_COMBINED = frozenset(concatenate.from_iterable(_ORDERED)) | {
    'kind',
    'repeatable',
    'outcome_path',
    'traffic_class',
    'review_completion_s',
}
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Problem:
    """A key whose effective value contradicts another one."""

    key: str
    reason: str


def check_tree(tree: Tree, changed: str, keys: Collection[str]) -> None:
    """Checks all effective values that a change at one node can alter.

    :param tree: the tree with the change.
    :param changed: path of the changed node.
    :param keys: the changed keys.
    :raises SettingCombinationError: for the first problem found; it names the changed node.
    """
    if _COMBINED.isdisjoint(keys):
        return
    for request in requests_under(tree, Path.parse(changed)):
        found = {item.key: item for item in explain(tree, *request)}
        for problem in problems(found):
            where = ROOT + '/'.join(name or SHARED for name in request)
            raise SettingCombinationError(
                node=changed,
                key=problem.key,
                reason=f'{problem.reason}; in force at {where}',
            )


def problems(found: _Found) -> Iterator[Problem]:
    """Yields the contradictions among the effective values of one request.

    :param found: explained values by key.
    """
    for smaller, larger in _ORDERED:
        if found[larger].value < found[smaller].value:
            yield Problem(larger, f'{_shown(found, larger)} is below {_shown(found, smaller)}')
    if found['kind'].value == 'engine':
        yield from _engine_problems(found)
    if found['traffic_class'].value == 'review':
        yield from _review_problems(found)


def requests_under(tree: Tree, changed: Path) -> Iterator[tuple[str, str, str]]:
    """Yields (organisation, service, route) for each chain of nodes with the changed one.

    An empty name stands for all names without a node.

    :param tree: the tree.
    :param changed: the changed node.
    """
    paths = [Path.parse(path) for path in tree.nodes_by_path]
    if changed.organisation in {'', SHARED}:
        organisations = _names(path.organisation for path in paths if path.organisation != SHARED)
    else:
        organisations = (changed.organisation,)
    for organisation in organisations:
        owned = [path for path in paths if path.organisation in {SHARED, organisation}]
        services = (changed.service,) if changed.service else _names(path.service for path in owned)
        for service in services:
            routes = (changed.route,) if changed.route else _routes(owned, service)
            yield from ((organisation, service, route) for route in routes)


def _engine_problems(found: _Found) -> Iterator[Problem]:
    if not found['repeatable'].value:
        yield Problem('repeatable', f'may not be false where {_shown(found, "kind")}')
    if found['outcome_path'].value:
        yield Problem('outcome_path', f'has no meaning where {_shown(found, "kind")}')


def _review_problems(found: _Found) -> Iterator[Problem]:
    completion_ms = found['review_completion_s'].value * _MS_PER_S
    if found['deadline_ms'].value < completion_ms:
        both = f'{_shown(found, "deadline_ms")} is below {_shown(found, "review_completion_s")}'
        yield Problem('deadline_ms', f'{both}, so a review could not use its completion time')


def _routes(owned: list[Path], service: str) -> tuple[str, ...]:
    return _names(path.route for path in owned if path.service == service)


def _names(found: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(concatenate(('',), found)))


def _shown(found: _Found, key: str) -> str:
    item = found[key]
    return f'{key}={item.value} ({item.path})'
