"""Limits retries so that they cannot amplify an overload."""

import random

# Retries per second that are allowed even if a service has few requests.
MIN_RETRIES_PER_S = 0.2
MAX_SAVED_RETRIES = 10.0
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


class _Budget:
    def __init__(self, now: float) -> None:
        self.saved = 1.0
        self.filled_at = now

    def fill(self, amount: float, now: float) -> None:
        since = max(0, now - self.filled_at)
        self.saved = min(MAX_SAVED_RETRIES, self.saved + amount + MIN_RETRIES_PER_S * since)
        self.filled_at = now


class RetryBudget:
    """Allows each service a share of its recent requests as retries, plus a small constant rate."""

    def __init__(self) -> None:
        """Starts with one saved retry for each service."""
        self._budgets_by_service: dict[str, _Budget] = {}

    def record_request(self, service: str, share: float, now: float) -> None:
        """Records the first attempt of a request.

        :param service: name.
        :param share: setting `retry_budget`, 0 to 1.
        :param now: monotonic seconds.
        """
        self._budget(service, now).fill(share, now)

    def allows_retry(self, service: str, now: float) -> bool:
        """Returns whether a retry is allowed, without taking it.

        :param service: name.
        :param now: monotonic seconds.
        """
        budget = self._budget(service, now)
        budget.fill(0, now)
        return budget.saved >= 1

    def take_retry(self, service: str, now: float) -> bool:
        """Takes one retry if the budget allows it; returns whether it did.

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


def retry_delay_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry: exponential, with full jitter.

    :param attempt: 1 for the first retry.
    :param rng: source of the jitter.
    """
    longest = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** min(attempt - 1, 30))
    return rng.uniform(BASE_DELAY_S / 2, longest)
