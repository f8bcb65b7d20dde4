"""Combinations of values that can't stand together."""

import dataclasses
from collections.abc import Collection, Iterable, Iterator
from itertools import chain as concatenate

from geraniumrail.errors.settings import SettingCombinationError
from geraniumrail.settings.path import ROOT, SHARED, Path
from geraniumrail.settings.resolve import Values, explain, values_of
from geraniumrail.settings.tree import Tree

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
    """A key whose effective value contradicts that of another key."""

    key: str
    reason: str
    other: str


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
        problem = next(problems(values_of(tree, *request)), None)
        if problem is not None:
            raise SettingCombinationError(
                node=changed,
                key=problem.key,
                reason=_explained(tree, request, problem),
            )


def problems(values: Values) -> Iterator[Problem]:
    """Yields the contradictions among the effective values of one request.

    :param values: effective values by key.
    """
    for smaller, larger in _ORDERED:
        if values[larger] < values[smaller]:
            yield Problem(larger, 'is below', smaller)
    if values['kind'] == 'engine':
        if not values['repeatable']:
            yield Problem('repeatable', 'may not be false together with', 'kind')
        if values['outcome_path']:
            yield Problem('outcome_path', 'has no meaning together with', 'kind')
    if values['traffic_class'] == 'review':
        if values['deadline_ms'] < values['review_completion_s'] * _MS_PER_S:
            yield Problem(
                'deadline_ms',
                'ends a request of class review before',
                'review_completion_s',
            )


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


def _routes(owned: list[Path], service: str) -> tuple[str, ...]:
    return _names(path.route for path in owned if path.service == service)


def _names(found: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(concatenate(('',), found)))


def _explained(tree: Tree, request: tuple[str, str, str], problem: Problem) -> str:
    found = {item.key: item for item in explain(tree, *request)}
    key, other = found[problem.key], found[problem.other]
    where = ROOT + '/'.join(name or SHARED for name in request)
    return (
        f'({key.value} from {key.path}) {problem.reason} {other.key} '
        f'({other.value} from {other.path}) for requests of {where}'
    )
