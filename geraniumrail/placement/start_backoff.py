"""Retry times of starts that the cloud refused."""

import random
from collections import defaultdict

from geraniumrail.core import events as core_events
from geraniumrail.placement import events

_FIRST_DELAY_S = 10
_MAX_DELAY_S = 600

_OfferKey = tuple[str, str, bool]


class StartBackoff:
    """Jittered exponential backoff per offer; a refused offer does not delay the others."""

    def __init__(self, rng: random.Random) -> None:
        """Starts without refusals.

        :param rng: source of the jitter.
        """
        self._rng = rng
        self._refusals: dict[_OfferKey, int] = defaultdict(int)
        self._retry_at: dict[_OfferKey, float] = {}

    def record_refusal(self, key: _OfferKey, now: float) -> None:
        """Records a refused start.

        :param key: `Offer.key`.
        :param now: seconds.
        """
        self._refusals[key] += 1
        longest = min(_MAX_DELAY_S, _FIRST_DELAY_S * 2 ** (self._refusals[key] - 1))
        # Half of the delay is fixed, so that a retry never follows at once.
        self._retry_at[key] = now + longest * self._rng.uniform(0.5, 1)
        core_events.log(
            events.START_REFUSED,
            offer=key,
            refusals=self._refusals[key],
            retry_in_s=round(self._retry_at[key] - now, 1),
        )

    def record_start(self, key: _OfferKey) -> None:
        """Records an accepted start.

        :param key: `Offer.key`.
        """
        self._refusals.pop(key, None)
        self._retry_at.pop(key, None)

    def refusals(self, key: _OfferKey) -> int:
        """Returns the number of refusals in a row.

        :param key: `Offer.key`.
        """
        return self._refusals.get(key, 0)

    def retry_at(self, key: _OfferKey) -> float:
        """Returns the earliest time of the next start, in seconds.

        :param key: `Offer.key`.
        """
        return self._retry_at.get(key, 0)
