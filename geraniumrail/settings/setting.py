"""One key of the schema."""

import dataclasses
import re

from geraniumrail.errors.settings import (
    SettingCombinationError,
    SettingRangeError,
    UnknownSettingError,
    WrongSettingTypeError,
)
from geraniumrail.settings.level import EVERYWHERE, Level
from geraniumrail.settings.values import Value

_NAMES_BY_TYPE: dict[type, str] = {
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
    str: 'text',
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setting:
    """A key with its type, range, default and the levels at which it may be set.

    `low` and `high` are inclusive and apply to numbers; `choices` or `pattern` apply to text.
    """

    key: str
    default: Value
    about: str
    low: float = 0
    high: float = 0
    choices: tuple[str, ...] = ()
    pattern: str = ''
    levels: tuple[Level, ...] = EVERYWHERE

    @property
    def value_type(self) -> type:
        """Returns bool, int, float or str."""
        return type(self.default)

    @property
    def expected(self) -> str:
        """Describes the accepted values, for messages and the documentation."""
        if self.choices:
            return ' or '.join(self.choices)
        if self.pattern:
            return f'text that matches {self.pattern}'
        name = _NAMES_BY_TYPE[self.value_type]
        if self.value_type is bool:
            return name
        return f'{name} from {self.low:.10g} to {self.high:.10g}'

    def check(self, node: str, found: Value) -> Value:
        """Returns the value in the type of the schema.

        :param node: path of the node, for errors.
        :param found: the value asked for.
        :raises WrongSettingTypeError: if the type differs; a whole number passes as a float.
        :raises SettingRangeError: if the value is out of range.
        """
        if not self._has_type(found):
            raise WrongSettingTypeError(
                node=node,
                key=self.key,
                expected=_NAMES_BY_TYPE[self.value_type],
                found=_shown(found),
            )
        if not self._contains(found):
            raise SettingRangeError(
                node=node,
                key=self.key,
                expected=self.expected,
                found=_shown(found),
            )
        return self.value_type(found)

    def check_level(self, node: str, level: Level) -> None:
        """Refuses a key at a level where it has no meaning.

        :param node: path of the node, for errors.
        :param level: level of the node.
        :raises SettingCombinationError: if the key may not be set there.
        """
        if level not in self.levels:
            allowed = ', '.join(self.levels)
            raise SettingCombinationError(
                node=node,
                key=self.key,
                reason=f'may be set only at {allowed}',
            )

    def _has_type(self, found: Value) -> bool:
        # In Python a bool is an int as well.
        if isinstance(found, bool) or self.value_type is bool:
            return isinstance(found, bool) and self.value_type is bool
        accepted = int | float if self.value_type is float else self.value_type
        return isinstance(found, accepted)

    def _contains(self, found: Value) -> bool:
        if isinstance(found, bool):
            return True
        if isinstance(found, str):
            if self.choices:
                return found in self.choices
            return re.fullmatch(self.pattern, found) is not None
        # NaN fails both comparisons.
        return self.low <= found <= self.high


def check_key(settings_by_key: dict[str, Setting], node: str, key: str) -> Setting:
    """Returns the setting of a key.

    :param settings_by_key: the schema.
    :param node: path of the node, for errors.
    :param key: name of the setting.
    :raises UnknownSettingError: if the schema has no such key.
    """
    setting = settings_by_key.get(key)
    if setting is None:
        raise UnknownSettingError(node=node, key=key)
    return setting


def _shown(found: Value) -> str:
    # Bounds the size of an error that repeats an operator's input.
    return repr(found)[:80]
