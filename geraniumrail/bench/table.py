"""Prints rows as a Markdown table and writes them as CSV."""

import csv
import sys
from collections.abc import Mapping, Sequence

_Rows = Sequence[Mapping[str, object]]


def publish(rows: _Rows, csv_path: str | None) -> None:
    """Prints a table with aligned columns, and writes it as CSV if a path is given.

    :param rows: at least one row; all have the same columns.
    :param csv_path: file to write.
    """
    sys.stdout.write(render(rows))
    if csv_path:
        with open(csv_path, 'w', newline='') as file:
            writer = csv.DictWriter(file, list(rows[0]), lineterminator='\n')
            writer.writeheader()
            writer.writerows(rows)


def render(rows: _Rows) -> str:
    """Returns a Markdown table with aligned columns.

    :param rows: at least one row; all have the same columns.
    """
    header = list(rows[0])
    lines = [header, *([str(row[name]) for name in header] for row in rows)]
    widths = [max(len(line[number]) for line in lines) for number in range(len(header))]
    rule = ['-' * width for width in widths]
    return ''.join(_line(line, widths) for line in (lines[0], rule, *lines[1:]))


def _line(fields: Sequence[str], widths: Sequence[int]) -> str:
    padded = (field.ljust(width) for field, width in zip(fields, widths, strict=True))
    joined = ' | '.join(padded)
    return f'| {joined} |\n'
