"""Outcomes of both versions by route, organisation and load band during one window."""

import dataclasses
from collections import defaultdict
from collections.abc import Callable, Iterator

_Stratum = tuple[str, str, int]
_History = Callable[[str, int], tuple[int, int]]

_FEW = 10


@dataclasses.dataclass
class Cell:
    """Outcomes of both versions in one stratum."""

    new_bad: int = 0
    new_total: int = 0
    old_bad: int = 0
    old_total: int = 0

    @property
    def counts(self) -> tuple[int, int, int, int]:
        """Returns new bad, new total, old bad, old total."""
        return (self.new_bad, self.new_total, self.old_bad, self.old_total)

    @property
    def is_informative(self) -> bool:
        """Tells whether both versions have outcomes and some, but not all, are bad."""
        bad = self.new_bad + self.old_bad
        return 0 < bad < self.new_total + self.old_total and bool(self.new_total and self.old_total)

    def add(self, counts: tuple[int, int, int, int]) -> None:
        """Adds outcomes.

        :param counts: new bad, new total, old bad, old total.
        """
        self.new_bad += counts[0]
        self.new_total += counts[1]
        self.old_bad += counts[2]
        self.old_total += counts[3]


class Strata:
    """Cells by stratum."""

    def __init__(self) -> None:
        """Starts without outcomes."""
        self._cells: dict[_Stratum, Cell] = defaultdict(Cell)

    def add(self, stratum: _Stratum, is_new: bool, total: int, bad: int) -> None:
        """Counts outcomes of one version.

        :param stratum: route, organisation and load band.
        :param is_new: whether they belong to the new version.
        :param total: number of outcomes.
        :param bad: how many of them were bad.
        """
        self._cells[stratum].add((bad, total, 0, 0) if is_new else (0, 0, bad, total))

    def paired(self, history: _History | None = None) -> Iterator[tuple[str, Cell]]:
        """Yields (route, cell); strata with one version only are pooled by route and band.

        :param history: returns (bad, total) of earlier samples of the old version by route and
            band; they are added where it has few in this window.
        """
        rest: dict[tuple[str, int], Cell] = defaultdict(Cell)
        least = 1 if history is None else _FEW
        for (route, _, band), cell in self._cells.items():
            if cell.new_total and cell.old_total >= min(least, cell.new_total):
                yield route, cell
            else:
                rest[route, band].add(cell.counts)
        for (route, band), pooled in rest.items():
            if history is not None and pooled.old_total < _FEW:
                pooled.add((0, 0, *history(route, band)))
            yield route, pooled
