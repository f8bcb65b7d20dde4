"""Output of commands: tables for people, JSON for programs."""

import argparse
import dataclasses
import functools
import itertools
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import TextIO

from geraniumrail.errors.base import GeraniumrailError

Row = Mapping[str, object]
_GAP = '  '


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Adds `--json`.

    :param parser: parser of a command.
    """
    parser.add_argument('--json', action='store_true', help='print JSON for programs')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Output:
    """Where and how a command prints; one JSON document for each call."""

    stream: TextIO
    errors: TextIO
    as_json: bool = False

    def table(self, rows: Iterable[Row], columns: Sequence[str]) -> None:
        """Prints rows.

        :param rows: the rows; JSON holds all their keys.
        :param columns: keys to show to people, in this order; also the headings.
        """
        listed = list(rows)
        if self.as_json:
            self._json(self.stream, listed)
            return
        cells = [[cell(row.get(column)) for column in columns] for row in listed]
        headings = [cell(column) for column in columns]
        widths = [max(map(len, column)) for column in zip(headings, *cells, strict=True)]
        for line in itertools.chain((headings,), cells):
            padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
            self.stream.write(f'{_GAP.join(padded).rstrip()}\n')

    def fields(self, row: Row) -> None:
        """Prints one record, a key on each line.

        :param row: the record.
        """
        if self.as_json:
            self._json(self.stream, dict(row))
            return
        width = max(map(len, row), default=0) + 1
        for key, found in row.items():
            heading = f'{cell(key)}:'
            self.stream.write(f'{heading.ljust(width)} {cell(found)}\n')

    def error(self, failure: GeraniumrailError) -> None:
        """Prints a failure on the error stream.

        :param failure: the failure.
        """
        if self.as_json:
            self._json(self.errors, failure.to_body())
            return
        error_type = failure.fields.get('type', failure.type_name)
        self.errors.write(f'error: {cell(str(failure))} ({cell(error_type)})\n')

    def _json(self, stream: TextIO, document: object) -> None:
        json.dump(document, stream, default=str)
        stream.write('\n')


@functools.singledispatch
def cell(found: object) -> str:
    """Returns a value as text for people, on one line.

    :param found: the value.
    """
    return cell(str(found))


@cell.register(type(None))
def _nothing(found: None) -> str:
    return '-'


@cell.register(str)
def _text(found: str) -> str:
    # Names come from servers that announce themselves; control characters in them could rewrite
    # the operator's terminal.
    return ''.join(
        letter if letter.isprintable() else letter.encode('unicode_escape').decode()
        for letter in found
    )


@cell.register(bool)
def _flag(found: bool) -> str:
    return 'yes' if found else 'no'


@cell.register(float)
def _number(found: float) -> str:
    return f'{found:.10g}'


@cell.register(list)
@cell.register(tuple)
def _items(found: Sequence[object]) -> str:
    return ','.join(cell(item) for item in found) or '-'


@cell.register(dict)
def _pairs(found: dict[str, object]) -> str:
    return ','.join(f'{cell(key)}={cell(value)}' for key, value in found.items()) or '-'
