"""Guards the log: the catalogue page is current, numbers are in range, lines can be read."""

import pathlib
import unittest

from absl import logging

from geraniumrail.core import events
from geraniumrail.core.event_line import EventLineError, parse_line
from geraniumrail.core.event_page import (
    LEVEL_NAMES,
    RANGE_SIZE,
    STARTS_BY_PACKAGE,
    declared_events,
    events_page,
)

DOCS = pathlib.Path(__file__).resolve().parents[2] / 'docs'
AWKWARD = {
    'reason': 'said "a=1 b" and\nleft ] E0001 x',
    'parts': {'queue': 0.5, 'kv cache': -1e-9},
    'names': ['salón', None, True],
    'file': pathlib.PurePosixPath('run/a b'),
    'missing': float('inf'),
    'nothing': None,
}
PREFIX = 'E1204 05:01:02.345678 140123456789 events.py:60] '


class CatalogueTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual((DOCS / 'events.md').read_text(), events_page())

    def test_numbers_and_names_belong_to_their_package(self):
        for package, declared in declared_events().items():
            start = STARTS_BY_PACKAGE[package]
            for event in declared:
                with self.subTest(event.name):
                    self.assertIn(event.number, range(start, start + RANGE_SIZE))
                    self.assertRegex(event.name, rf'^{package}\.[a-z0-9_]+$')
                    self.assertIn(event.level, LEVEL_NAMES)


class LineTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.DEBUG)

    def logged(self, event, **fields):
        with self.assertLogs('absl', 'DEBUG') as captured:
            events.log(event, **fields)
        return captured.records[0].getMessage()

    def test_every_event_can_be_read_back(self):
        shown = {**AWKWARD, 'file': 'run/a b'}
        for event in (each for declared in declared_events().values() for each in declared):
            with self.subTest(event.name):
                text = self.logged(event, **AWKWARD)
                for line in (text, f'{PREFIX}{text}\n'):
                    parsed = parse_line(line)
                    self.assertEqual((parsed.number, parsed.name), (event.number, event.name))
                    self.assertEqual(parsed.fields, shown)
                self.assertEqual(parse_line(self.logged(event)).fields, {})

    def test_other_lines_are_refused(self):
        for text in ('', 'E12 a.b', 'E0401 a.b c', 'E0401 a.b c={', f'{PREFIX}server stopped'):
            with self.subTest(text), self.assertRaises(EventLineError):
                parse_line(text)


if __name__ == '__main__':
    unittest.main()
