"""Paths of nodes."""

import dataclasses
import re

from geraniumrail.errors.settings import BadPathError
from geraniumrail.settings.level import Level

ROOT = '/'
SHARED = '*'
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,63}')
_MAX_NAMES = 3
# Bounds the size of an error that repeats an operator's input.
_MAX_SHOWN = 256


@dataclasses.dataclass(frozen=True)
class Path:
    """A parsed path; names below its level are empty."""

    level: Level
    organisation: str = ''
    service: str = ''
    route: str = ''

    @classmethod
    def parse(cls, path: str) -> 'Path':
        """Parses the text of a path.

        :param path: such as `/*/model-bench` or `/salon-a/repair-desk/bookings`.
        :raises BadPathError: if it is malformed.
        """
        if path == ROOT:
            return cls(Level.ROOT)
        lead, *names = path.split('/')
        reason = _fault(lead, names)
        if reason:
            raise BadPathError(node=path[:_MAX_SHOWN], reason=reason)
        return cls(_level(len(names), is_shared=names[0] == SHARED), *names)


def is_name(text: str) -> bool:
    """Returns whether the text may name an organisation, service or route.

    :param text: any text.
    """
    return _NAME.fullmatch(text) is not None


def chain(organisation: str, service: str, route: str) -> tuple[str, ...]:
    """Lists the paths that are in force for a request, the strongest last.

    :param organisation: name; empty or `*` for an organisation without nodes.
    :param service: name; empty for a service without nodes.
    :param route: name; empty for a route without nodes.
    """
    # A name with a slash could otherwise reach the node of another service or route. The path of
    # an empty name ends in a slash, so it has no node.
    service = '' if ROOT in service else service
    route = '' if ROOT in route else route
    shared = (ROOT, f'/*/{service}', f'/*/{service}/{route}')
    if ROOT in organisation or organisation in {'', SHARED}:
        return shared
    own = f'/{organisation}/{service}'
    return (*shared, f'/{organisation}', own, f'{own}/{route}')


def _fault(lead: str, names: list[str]) -> str:
    if lead or not names:
        return 'a path starts with /'
    if len(names) > _MAX_NAMES:
        return 'a path has at most 3 names'
    if names == [SHARED]:
        return '* is followed by a service'
    checked = names[1:] if names[0] == SHARED else names
    bad = next((name for name in checked if not is_name(name)), None)
    return '' if bad is None else f'{bad[:_MAX_SHOWN]!r} is not a name'


def _level(depth: int, *, is_shared: bool) -> Level:
    if is_shared:
        return Level.SHARED_SERVICE if depth == 2 else Level.SHARED_ROUTE
    return (Level.ORGANISATION, Level.SERVICE, Level.ROUTE)[depth - 1]
