"""Bad outcomes of the new version beyond those of the old one."""

import dataclasses
import math

_UNSEEN = 3  # bad outcomes that zero seen ones leave possible at 95%


@dataclasses.dataclass(frozen=True)
class Excess:
    """Sum over strata and windows in which both versions have samples."""

    samples: float = 0  # of the new version
    bad: float = 0  # beyond the expected ones; negative if the new version is better
    variance: float = 0

    def plus(self, new_bad: int, new_total: int, old_bad: int, old_total: int) -> 'Excess':
        """Adds one stratum of one window.

        :param new_bad: bad outcomes of the new version.
        :param new_total: outcomes of the new version.
        :param old_bad: bad outcomes of the old version.
        :param old_total: outcomes of the old version.
        """
        if not old_total or not new_total:
            return self
        rate = (old_bad + new_bad) / (old_total + new_total)
        return Excess(
            self.samples + new_total,
            self.bad + new_bad - new_total * old_bad / old_total,
            self.variance + rate * (1 - rate) * new_total * (1 + new_total / old_total),
        )

    def upper_share(self) -> float:
        """Returns the largest excess share of bad outcomes not yet ruled out, 0 to 1."""
        if not self.samples:
            return 1
        likely = max(0, self.bad) + 2 * math.sqrt(self.variance) + _UNSEEN
        return min(1, likely / self.samples)
