"""Reads YAML files into nodes that know their lines."""

import pathlib

import yaml

from geraniumrail.errors.config import ConfigError

_TAG = 'tag:yaml.org,2002:'
_SCALARS = frozenset(_TAG + name for name in ('bool', 'int', 'float', 'str', 'null'))

Scalar = bool | int | float | str | None


def load_yaml(path: pathlib.Path) -> yaml.Node:
    """Reads the only document of a file.

    :param path: the file.
    :raises ConfigError: if the file can't be read, is empty or is not YAML.
    """
    try:
        root = yaml.compose(path.read_text(encoding='utf-8'), Loader=yaml.SafeLoader)
    except (OSError, UnicodeDecodeError) as failure:
        raise ConfigError(file=path, line=0, key='file', reason=str(failure)) from failure
    except yaml.YAMLError as failure:
        mark = getattr(failure, 'problem_mark', None)
        line = 0 if mark is None else mark.line + 1
        reason = getattr(failure, 'problem', None) or 'is not text'
        raise ConfigError(file=path, line=line, key='syntax', reason=reason) from failure
    if root is None:
        raise ConfigError(file=path, line=1, key='file', reason='is empty')
    return root


def line_of(node: yaml.Node) -> int:
    """Returns the line on which a node starts; the first line is 1."""
    return int(node.start_mark.line) + 1


def scalar_of(node: yaml.Node) -> Scalar:
    """Returns the value of a scalar node.

    :param node: any node.
    :raises ValueError: if it is no boolean, number, text or null.
    """
    if not isinstance(node, yaml.ScalarNode) or node.tag not in _SCALARS:
        raise ValueError(node.tag)
    found: Scalar = yaml.constructor.SafeConstructor().construct_object(node)
    return found


def kind_of(node: yaml.Node) -> str:
    """Names the type of a node, for error messages."""
    names = {'map': 'a mapping', 'seq': 'a list', 'str': 'text', 'null': 'nothing'}
    tag = node.tag.removeprefix(_TAG)
    return names.get(tag, tag)
