"""Numbered log events; each package declares its own in its `events.py`."""

import dataclasses
import json

from absl import logging

_events_by_number: dict[int, 'Event'] = {}


class DuplicateEventError(ValueError):
    """Two events have the same number."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log line; docs/events.md lists all of them."""

    number: int
    name: str
    meaning: str
    level: int = logging.INFO

    @classmethod
    def define(
        cls,
        number: int,
        name: str,
        meaning: str,
        level: int = logging.INFO,
    ) -> 'Event':
        """Adds an event to the catalogue.

        :param number: unique number, in the range of the package.
        :param name: `package.what_happened`.
        :param meaning: sentence for the catalogue.
        :param level: absl logging level.
        :raises DuplicateEventError: if the number is taken.
        """
        if number in _events_by_number:
            raise DuplicateEventError(number)
        _events_by_number[number] = cls(number, name, meaning, level)
        return _events_by_number[number]


def catalogue() -> tuple[Event, ...]:
    """Returns the events declared so far, by number."""
    return tuple(_events_by_number[number] for number in sorted(_events_by_number))


def log(event: Event, **fields: object) -> None:
    """Writes one line: `E0401 routing.chosen key=value ...`; values are JSON.

    :param event: the kind of line.
    :param fields: what happened, in the order to print.
    """
    if not logging.vlog_is_on(event.level):
        return
    pairs = ' '.join(f'{name}={json.dumps(field, default=str)}' for name, field in fields.items())
    logging.log(event.level, 'E%04d %s %s', event.number, event.name, pairs)
