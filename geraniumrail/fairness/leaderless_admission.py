"""What an entry may admit of the ledger's part of a limit while no leader lends it."""

import dataclasses
import random

# Longest time without a leader that counts; the lease of an entry ends soon after.
LONGEST_S = 3.0
# What was admitted without a leader counts for so long: the usual window of limits.
MEMORY_S = 8.0


@dataclasses.dataclass(frozen=True)
class _Used:
    tokens: float
    at: float
    draw: float  # part of the next request that must have accrued


class LeaderlessAdmission:
    """Admits, in the mean over all entries, no more than the ledger would have lent.

    The share of one of many entries is less than one long prompt, so a request is admitted once a
    part of it has accrued that is drawn anew after each admission.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts without use.

        :param rng: source of the draws.
        """
        self._rng = rng
        self._used_by_organisation: dict[str, _Used] = {}

    def take(
        self, organisation: str, cost: float, lent_per_s: float, now: float, since: float
    ) -> bool:
        """Tells whether a request is admitted, and counts it.

        :param organisation: name.
        :param cost: what the entry's own part lacks.
        :param lent_per_s: this entry's even share of what the ledger lends in a second.
        :param now: seconds.
        :param since: when the leader was last heard.
        """
        used = self._used_by_organisation.get(organisation)
        if used is None or used.at < now - MEMORY_S:
            used = _Used(0, now, self._rng.random())
        accrued = lent_per_s * min(LONGEST_S, now - since) - used.tokens
        admitted = accrued > used.draw * cost
        if admitted:
            used = _Used(used.tokens + cost, now, self._rng.random())
        self._used_by_organisation[organisation] = used
        return admitted
