"""Limits retries so that they cannot amplify an overload."""

import collections
import dataclasses
import math
import random
from collections.abc import Callable

BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0
# A window is counted in parts. Requests of the oldest part are left out and retries are kept, so
# that no span of the length of a window has more retries than are allowed.
PARTS = 20


@dataclasses.dataclass(frozen=True)
class RetryLimit:
    """What all entries together may repeat of the requests for one service."""

    window_s: float = 10.0
    slack: float = 40.0  # retries in a window beyond the share of its requests


@dataclasses.dataclass
class _Part:
    began_at: float
    earned: float = 0  # retries that the requests of this part allow
    taken: int = 0


class RetryBudget:
    """Allows each service a share of its recent requests as retries, plus a part of the slack.

    Invariant: in any window, the retries of all entries together are at most the shares of their
    requests plus the slack, as far as the entries know how many they are. An entry does not know
    what its process before a restart has used, so in its first window it has its part of the slack
    only.
    """

    def __init__(
        self, limit: RetryLimit, entries: Callable[[], int], started_at: float = -math.inf
    ) -> None:
        """Starts without requests.

        :param limit: of all entries together.
        :param entries: returns the number of entries that use the limit.
        :param started_at: when the process of this entry started, monotonic seconds.
        """
        self._limit = limit
        self._entries = entries
        self._earns_from = started_at + limit.window_s
        self._parts_by_service: dict[str, collections.deque[_Part]] = collections.defaultdict(
            collections.deque
        )

    def record_request(self, service: str, share: float, now: float) -> None:
        """Records the first attempt of a request.

        :param service: name.
        :param share: setting `retry_budget`, 0 to 1.
        :param now: monotonic seconds.
        """
        self._newest_part(service, now).earned += share if now >= self._earns_from else 0

    def allows_retry(self, service: str, now: float) -> bool:
        """Returns whether a retry is allowed, without taking it.

        :param service: name.
        :param now: monotonic seconds.
        """
        window_from = now - self._limit.window_s
        parts = self._parts_by_service[service]
        self._drop_old(parts, now)
        earned = sum(part.earned for part in parts if part.began_at >= window_from)
        taken = sum(part.taken for part in parts)
        return taken + 1 <= earned + self._limit.slack / max(1, self._entries())

    def take_retry(self, service: str, now: float) -> bool:
        """Takes one retry if the budget allows it; returns whether it did.

        :param service: name.
        :param now: monotonic seconds.
        """
        if not self.allows_retry(service, now):
            return False
        self._newest_part(service, now).taken += 1
        return True

    def _newest_part(self, service: str, now: float) -> _Part:
        parts = self._parts_by_service[service]
        if not parts or now >= parts[-1].began_at + self._part_s:
            self._drop_old(parts, now)
            parts.append(_Part(began_at=now))
        return parts[-1]

    def _drop_old(self, parts: collections.deque[_Part], now: float) -> None:
        while parts and parts[0].began_at <= now - self._limit.window_s - self._part_s:
            parts.popleft()

    @property
    def _part_s(self) -> float:
        return self._limit.window_s / PARTS


def retry_delay_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before a retry: exponential, with full jitter.

    :param attempt: 1 for the first retry.
    :param rng: source of the jitter.
    """
    longest = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** min(attempt - 1, 30))
    return rng.uniform(BASE_DELAY_S / 2, longest)
