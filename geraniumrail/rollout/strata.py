"""Outcomes of both versions by route, organisation and load band during one window."""

import dataclasses
from collections import defaultdict
from collections.abc import Callable, Iterator

_Stratum = tuple[str, str, int]  # route, organisation, load band
_HistoryFunction = Callable[[str, int], tuple[int, int]]

_MIN_OLD_OUTCOMES = 10  # below this, earlier samples are added
_MIN_HEALTHY_OUTCOMES = 3
_MIN_OUTCOMES_PER_BAD = 3


@dataclasses.dataclass
class ContingencyTable:
    """Outcomes of both versions in one stratum, as a 2x2 contingency table."""

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
        """Returns whether both versions have outcomes and some, but not all, are bad."""
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
    """Contingency tables by stratum."""

    def __init__(self) -> None:
        """Starts without outcomes."""
        self._tables: dict[_Stratum, ContingencyTable] = defaultdict(ContingencyTable)

    def add(self, stratum: _Stratum, is_new: bool, total: int, bad: int) -> None:
        """Counts outcomes of one version.

        :param stratum: route, organisation and load band.
        :param is_new: whether they belong to the new version.
        :param total: number of outcomes.
        :param bad: how many of them were bad.
        """
        self._tables[stratum].add((bad, total, 0, 0) if is_new else (0, 0, bad, total))

    def tables(
        self, history: _HistoryFunction | None = None
    ) -> Iterator[tuple[str, ContingencyTable]]:
        """Yields (route, table); strata with too few outcomes of a version are pooled by band.

        :param history: returns (bad, total) of earlier samples of the old version by route and
            band; they are added where it has few outcomes in this window, unless many are bad.
        """
        pooled_by_band: dict[tuple[str, int], ContingencyTable] = defaultdict(ContingencyTable)
        uses_history = history is not None and self._old_is_healthy()
        min_old = _MIN_OLD_OUTCOMES if uses_history else 1
        for (route, _, band), table in self._tables.items():
            if table.new_total and table.old_total >= min(min_old, table.new_total):
                yield route, table
            else:
                pooled_by_band[route, band].add(table.counts)
        for (route, band), pooled in pooled_by_band.items():
            if uses_history and pooled.old_total < _MIN_OLD_OUTCOMES:
                pooled.add((0, 0, *history(route, band)))
            yield route, pooled

    def _old_is_healthy(self) -> bool:
        """Returns whether the old version has outcomes in this window and few of them are bad.

        Earlier samples are not comparable while something slows both versions.
        """
        total = sum(table.old_total for table in self._tables.values())
        bad = sum(table.old_bad for table in self._tables.values())
        return total >= _MIN_HEALTHY_OUTCOMES and bad * _MIN_OUTCOMES_PER_BAD <= total
