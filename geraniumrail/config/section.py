"""A mapping of the YAML file with typed access to its keys."""

import dataclasses
import pathlib
from collections.abc import Collection

import yaml

from geraniumrail.config.document import Scalar, kind_of, line_of, scalar_of
from geraniumrail.errors.config import ConfigError


@dataclasses.dataclass(frozen=True)
class Section:
    """A checked mapping: its keys are known and unique.

    A method with a `default` returns it for a missing key; without one the key is required.
    """

    file: pathlib.Path
    name: str
    line: int
    nodes_by_key: dict[str, yaml.Node]

    @classmethod
    def from_node(
        cls,
        file: pathlib.Path,
        name: str,
        node: yaml.Node,
        known: Collection[str] | None,
    ) -> 'Section':
        """Checks the keys of a mapping.

        :param file: the file, for errors.
        :param name: dotted name of the mapping; empty for the whole file.
        :param node: the node.
        :param known: accepted keys; None accepts every key.
        :raises ConfigError: if it is no mapping, or a key is unknown or repeated.
        """
        line = line_of(node)
        if not isinstance(node, yaml.MappingNode):
            reason = f'must be a mapping, got {kind_of(node)}'
            raise ConfigError(file=file, line=line, key=name or 'file', reason=reason)
        section = cls(file, name, line, {})
        for key_node, child in node.value:
            key = str(key_node.value) if isinstance(key_node, yaml.ScalarNode) else '?'
            line = line_of(key_node)
            if known is not None and key not in known:
                accepted = ', '.join(sorted(known))
                raise section.error(key, f'is not a known key (known: {accepted})', line)
            earlier = section.nodes_by_key.get(key)
            if earlier is not None:
                raise section.error(key, f'is set twice, first in line {line_of(earlier)}', line)
            section.nodes_by_key[key] = child
        return section

    def error(self, key: str, reason: str, line: int | None = None) -> ConfigError:
        """Builds the error for a key of this section.

        :param key: the key.
        :param reason: what is wrong.
        :param line: line number, if it is not that of the key's value.
        """
        if line is None:
            node = self.nodes_by_key.get(key)
            line = self.line if node is None else line_of(node)
        dotted = f'{self.name}.{key}' if self.name else key
        return ConfigError(file=self.file, line=line, key=dotted, reason=reason)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns text that is not empty.

        :raises ConfigError: if the key is missing or has another type.
        """
        found = self._scalar(key, default)
        if not isinstance(found, str) or not found:
            raise self._wrong(key, 'text')
        return found

    def choice(self, key: str, choices: Collection[str], default: str | None = None) -> str:
        """Returns one of the given words.

        :raises ConfigError: if the key is missing or has another value.
        """
        found = self.text(key, default)
        if found not in choices:
            raise self.error(key, f'must be one of {", ".join(choices)}, got {found}')
        return found

    def unchecked_texts(self, key: str) -> tuple[str, ...]:
        """Returns a list of texts; empty if there is none.

        :param key: its key.
        """
        node = self.nodes_by_key.get(key)
        if not isinstance(node, yaml.SequenceNode):
            return ()
        return tuple(item.value for item in node.value)

    def texts_by_key(self, key: str) -> dict[str, str]:
        """Returns a table of texts; empty if there is none.

        :param key: its key.
        """
        node = self.nodes_by_key.get(key)
        pairs = node.value if isinstance(node, yaml.MappingNode) else ()
        return {name.value: item.value for name, item in pairs}

    def flag(self, key: str, *, default: bool) -> bool:
        """Returns a boolean.

        :raises ConfigError: if the key has another type.
        """
        found = self._scalar(key, default)
        if not isinstance(found, bool):
            raise self._wrong(key, 'true or false')
        return found

    def number(self, key: str, low: float, high: float, default: float) -> float:
        """Returns a number in an inclusive range.

        :raises ConfigError: if the key has another type or is out of range.
        """
        found = self._scalar(key, default)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise self._wrong(key, 'a number')
        # NaN fails the comparison.
        if not low <= found <= high:
            raise self.error(key, f'must be from {low:.10g} to {high:.10g}, got {found}')
        return found

    def whole(self, key: str, low: int, high: int, default: int) -> int:
        """Returns a whole number in an inclusive range.

        :raises ConfigError: if the key has another type or is out of range.
        """
        found = self.number(key, low, high, default)
        if not isinstance(found, int):
            raise self._wrong(key, 'a whole number')
        return found

    def section(self, key: str, known: Collection[str]) -> 'Section | None':
        """Returns the mapping under a key, or None if the key is missing.

        :raises ConfigError: if it is no mapping, or one of its keys is unknown or repeated.
        """
        node = self.nodes_by_key.get(key)
        if node is None:
            return None
        return Section.from_node(self.file, self._dotted(key), node, known)

    def sections(self, key: str, known: Collection[str]) -> tuple['Section', ...]:
        """Returns the mappings listed under a key; none if the key is missing.

        :raises ConfigError: if it is no list of mappings with known keys.
        """
        return tuple(
            Section.from_node(self.file, f'{self._dotted(key)}[{number}]', node, known)
            for number, node in enumerate(self._listed(key))
        )

    def texts(self, key: str) -> tuple[str, ...]:
        """Returns the texts listed under a key; at least one and none twice.

        :raises ConfigError: if the key is missing or is no list of different texts.
        """
        found: dict[str, None] = {}
        for node in self._listed(key):
            text = self._item(key, node)
            if text in found:
                raise self.error(key, f'lists {text} twice', line_of(node))
            found[text] = None
        if not found:
            raise self.error(key, 'must list at least one item')
        return tuple(found)

    def required(self, key: str, found: 'Section | None') -> 'Section':
        """Refuses a missing section.

        :raises ConfigError: if it is missing.
        """
        if found is None:
            raise self.error(key, 'is missing')
        return found

    def _dotted(self, key: str) -> str:
        return f'{self.name}.{key}' if self.name else key

    def _listed(self, key: str) -> list[yaml.Node]:
        node = self.nodes_by_key.get(key)
        if node is None:
            return []
        if not isinstance(node, yaml.SequenceNode):
            raise self._wrong(key, 'a list')
        return list(node.value)

    def _item(self, key: str, node: yaml.Node) -> str:
        try:
            text = scalar_of(node)
        except ValueError:
            text = None
        if not isinstance(text, str) or not text:
            raise self.error(key, f'must list texts, got {kind_of(node)}', line_of(node))
        return text

    def _scalar(self, key: str, default: Scalar) -> Scalar:
        node = self.nodes_by_key.get(key)
        if node is None:
            if default is None:
                raise self.error(key, 'is missing')
            return default
        try:
            return scalar_of(node)
        except ValueError as failure:
            raise self._wrong(key, 'a single value') from failure

    def _wrong(self, key: str, expected: str) -> ConfigError:
        node = self.nodes_by_key[key]
        shown = kind_of(node)
        if isinstance(node, yaml.ScalarNode):
            shown = repr(node.value[:80])
        return self.error(key, f'must be {expected}, got {shown}')
