"""Makes docs/events.md: `scripts/list_events > docs/events.md`."""

import importlib
import pathlib
import sys

from absl import logging

import geraniumrail
from geraniumrail.core.events import Event

RANGE_SIZE = 100
# First number of each package's range.
STARTS_BY_PACKAGE = {
    'daemon': 0,
    'consensus': 100,
    'state': 200,
    'settings': 300,
    'routing': 400,
    'fairness': 500,
    'rollout': 600,
    'placement': 700,
    'links': 800,
    'callers': 900,
    'operators': 1000,
    'backends': 1100,
    'cloud': 1200,
    'entry': 1300,
    'control': 1400,
    'commands': 1500,
    'standins': 1600,
    'bench': 1700,
    'forwarding': 1800,
    'tasks': 1900,
    'quarantine': 2000,
    'relay': 2100,
}
LEVEL_NAMES = {
    logging.DEBUG: 'debug',
    logging.INFO: 'info',
    logging.WARNING: 'warning',
    logging.ERROR: 'error',
}
_HEAD = """# Log events

Made from each package's `events.py` by `scripts/list_events > docs/events.md`.

An event is one line of the log, `E0401 routing.chosen request="req-1" score=0.21 ...`: the number,
the name and fields whose values are JSON. The log library writes level, time and place before it.
`geraniumrail.core.event_line.parse_line` reads such a line.
"""


def declared_events() -> dict[str, tuple[Event, ...]]:
    """Imports every `events.py` and returns the events of each package, by number."""
    root = pathlib.Path(geraniumrail.__path__[0])
    packages = sorted(file.parent.name for file in root.glob('*/events.py'))
    events_by_package = {}
    for package in packages:
        module = importlib.import_module(f'geraniumrail.{package}.events')
        found = {each.number: each for each in module.__dict__.values() if isinstance(each, Event)}
        if found:
            events_by_package[package] = tuple(found[number] for number in sorted(found))
    return events_by_package


def events_page() -> str:
    """Returns the text of docs/events.md."""
    events_by_package = declared_events()
    by_number = sorted(events_by_package.items(), key=lambda item: item[1][0].number)
    return _HEAD + ''.join(_part(package, events) for package, events in by_number)


def _part(package: str, events: tuple[Event, ...]) -> str:
    heading = f'\n## {package}\n\n| number | name | level | meaning |\n|---|---|---|---|\n'
    return heading + ''.join(_row(event) for event in events)


def _row(event: Event) -> str:
    meaning = event.meaning.replace('|', r'\|')
    return f'| E{event.number:04d} | `{event.name}` | {LEVEL_NAMES[event.level]} | {meaning} |\n'


if __name__ == '__main__':
    sys.stdout.write(events_page())
