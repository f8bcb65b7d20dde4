"""A file with the first settings tree of a deployment."""

import dataclasses
import pathlib

import yaml

from geraniumrail.config.document import Scalar, kind_of, line_of, load_yaml, scalar_of
from geraniumrail.config.section import Section
from geraniumrail.errors.config import ConfigError
from geraniumrail.errors.settings import SettingsError
from geraniumrail.settings.change import Change, apply_change
from geraniumrail.settings.tree import Tree

_KEYS = ('path', 'values')


@dataclasses.dataclass(frozen=True)
class SettingsFile:
    """Changes that create the nodes of the file, in its order, from an empty tree."""

    changes: tuple[Change, ...]

    @classmethod
    def from_file(cls, path: str | pathlib.Path, operator: str, change_id: str) -> 'SettingsFile':
        """Reads a YAML list of `{path, values}` and checks it against an empty tree.

        :param path: the file.
        :param operator: name of the operator who loads it.
        :param change_id: prefix of the ids of the changes; equal prefixes make a resend safe.
        :raises ConfigError: if the file is refused; names the line of the key or node.
        """
        file = pathlib.Path(path)
        root = load_yaml(file)
        if not isinstance(root, yaml.SequenceNode):
            reason = f'must be a list of nodes, got {kind_of(root)}'
            raise ConfigError(file=file, line=line_of(root), key='file', reason=reason)
        tree = Tree.empty()
        changes = []
        for number, node in enumerate(root.value):
            section = Section.from_node(file, f'[{number}]', node, _KEYS)
            values = section.required('values', _read_values(section))
            change = Change(
                change_id=f'{change_id}-{number}',
                path=section.text('path'),
                expected_version=0,
                values={key: _read_value(values, key) for key in values.nodes_by_key},
                operator=operator,
            )
            tree = _apply(tree, change, section, values)
            changes.append(change)
        return cls(tuple(changes))


def _read_values(section: Section) -> Section | None:
    node = section.nodes_by_key.get('values')
    return None if node is None else Section.from_node(section.file, section.name, node, None)


def _read_value(values: Section, key: str) -> Scalar:
    try:
        return scalar_of(values.nodes_by_key[key])
    except ValueError as failure:
        raise values.error(key, 'must be a single value') from failure


def _apply(tree: Tree, change: Change, section: Section, values: Section) -> Tree:
    try:
        return apply_change(tree, change)
    except SettingsError as refusal:
        key = str(refusal.fields.get('key', ''))
        place, name = (values, key) if key in values.nodes_by_key else (section, 'path')
        raise place.error(name, str(refusal)) from refusal
