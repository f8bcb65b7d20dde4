"""Bounds retries so that they cannot multiply an overload."""

import random

# Retries that are possible per second even when a service has few requests.
MIN_RETRIES_PER_S = 0.2
MAX_SAVED = 10.0
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


class _Budget:
    def __init__(self, now: float) -> None:
        self.saved = 1.0
        self.filled_at = now

    def fill(self, amount: float, now: float) -> None:
        since = max(0, now - self.filled_at)
        self.saved = min(MAX_SAVED, self.saved + amount + MIN_RETRIES_PER_S * since)
        self.filled_at = now


class RetryBudget:
    """For each service: a share of recent requests plus a small constant rate."""

    def __init__(self) -> None:
        """Starts with one retry for each service."""
        self._budgets_by_service: dict[str, _Budget] = {}

    def requested(self, service: str, share: float, now: float) -> None:
        """Notes a first attempt.

        :param service: name.
        :param share: setting `retry_budget`, 0 to 1.
        :param now: monotonic seconds.
        """
        self._budget(service, now).fill(share, now)

    def can_take(self, service: str, now: float) -> bool:
        """Tells whether a retry is allowed, without taking it.

        :param service: name of the service.
        :param now: monotonic seconds.
        """
        budget = self._budget(service, now)
        budget.fill(0, now)
        return budget.saved >= 1

    def take(self, service: str, now: float) -> bool:
        """Takes one retry if the budget allows it.

        :param service: name.
        :param now: monotonic seconds.
        """
        budget = self._budget(service, now)
        budget.fill(0, now)
        if budget.saved < 1:
            return False
        budget.saved -= 1
        return True

    def _budget(self, service: str, now: float) -> _Budget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = _Budget(now)
            self._budgets_by_service[service] = budget
        return budget


def delay(attempt: int, rng: random.Random) -> float:
    """Returns seconds to wait before a retry: exponential, with full jitter.

    :param attempt: 1 for the first retry.
    :param rng: source of the jitter.
    """
    longest = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** min(attempt - 1, 30))
    return rng.uniform(BASE_DELAY_S / 2, longest)
