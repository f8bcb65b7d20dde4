"""Reads event lines back from a log."""

import dataclasses
import json
import re
from typing import Any

# absl writes `W1204 05:01:02.345678 140123 events.py:60] ` before the line.
_PREFIX = re.compile(r'[A-Z]\d{4} [\d:.]+ +\d+ [^\]\s]+\] ')
_LINE = re.compile(r'E(?P<number>\d{4}) (?P<name>[a-z0-9_.]+)(?P<rest> .*)?')
_FIELD = re.compile(r' +(?P<name>[A-Za-z_]\w*)=')
_decoder = json.JSONDecoder()


class EventLineError(ValueError):
    """The text is not an event line."""


@dataclasses.dataclass(frozen=True)
class EventLine:
    """One line that `core.events.log` wrote."""

    number: int
    name: str
    fields: dict[str, Any]


def parse_line(text: str) -> EventLine:
    """Parses `E0401 routing.chosen key=json ...`, with or without the prefix of absl.

    :param text: one line of a log.
    :raises EventLineError: if it is not an event line.
    """
    prefix = _PREFIX.match(text)
    found = _LINE.fullmatch(text.rstrip(), prefix.end() if prefix else 0)
    if found is None:
        raise EventLineError(text)
    return EventLine(int(found['number']), found['name'], _fields(found['rest'] or ''))


def _fields(rest: str) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    position = 0
    while position < len(rest):
        name = _FIELD.match(rest, position)
        if name is None:
            raise EventLineError(rest[position:])
        try:
            value, position = _decoder.raw_decode(rest, name.end())
        except json.JSONDecodeError as error:
            raise EventLineError(rest[position:]) from error
        fields[name['name']] = value
    return fields
