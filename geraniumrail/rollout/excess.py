"""Excess of bad (failed or slow) outcomes of the new version over the old one."""

import dataclasses
import math

_ZERO_COUNT_BOUND = 3  # 95% upper bound of the expected count when none was seen (rule of three)


@dataclasses.dataclass(frozen=True)
class Excess:
    """Sum over the strata and windows in which both versions have samples."""

    samples: float = 0  # of the new version
    bad: float = 0  # bad outcomes above the expected number; negative if the new version is better
    variance: float = 0

    def plus(self, new_bad: int, new_total: int, old_bad: int, old_total: int) -> 'Excess':
        """Returns the sum with one stratum of one window added.

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
        """Returns the upper confidence bound of the excess share of bad outcomes, 0 to 1."""
        if not self.samples:
            return 1
        upper_bad = max(0, self.bad) + 2 * math.sqrt(self.variance) + _ZERO_COUNT_BOUND
        return min(1, upper_bad / self.samples)
