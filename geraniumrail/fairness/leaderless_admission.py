"""Admits requests against the central part of a limit while no leader answers."""

import dataclasses
import random

# Longest time without a leader for which tokens accrue; the lease of an entry ends soon after.
MAX_ACCRUAL_S = 3.0
# Tokens admitted without a leader count for this long, the usual window of limits.
USE_RETENTION_S = 8.0


@dataclasses.dataclass(frozen=True)
class _Used:
    tokens: float
    at: float
    threshold: float  # part of the next request that must have accrued, drawn at random


class LeaderlessAdmission:
    """Admits, on average over all entries, no more than the central buckets would have.

    With many entries the share of one is less than a long prompt. So a request is admitted once a
    random part of its cost has accrued; the part is drawn again after each admission.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts without admitted tokens.

        :param rng: source of the random parts.
        """
        self._rng = rng
        self._used_by_organisation: dict[str, _Used] = {}

    def admit(
        self, organisation: str, cost: float, rate_per_s: float, now: float, last_contact_at: float
    ) -> bool:
        """Returns whether a request is admitted, and counts it if so.

        :param organisation: name.
        :param cost: tokens or requests that the local bucket cannot cover.
        :param rate_per_s: this entry's even share of the central bucket's rate.
        :param now: seconds.
        :param last_contact_at: when the leader last answered, seconds.
        """
        used = self._used_by_organisation.get(organisation)
        if used is None or used.at < now - USE_RETENTION_S:
            used = _Used(0, now, self._rng.random())
        accrued = rate_per_s * min(MAX_ACCRUAL_S, now - last_contact_at) - used.tokens
        admitted = accrued > used.threshold * cost
        if admitted:
            used = _Used(used.tokens + cost, now, self._rng.random())
        self._used_by_organisation[organisation] = used
        return admitted
