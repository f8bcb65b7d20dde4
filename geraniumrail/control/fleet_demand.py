"""Recent demand of each service and work of its engines, from the reports of the entries."""

import collections
from collections.abc import Iterable

from geraniumrail.control.engine_capacity import EngineCapacity
from geraniumrail.links.messages import ServiceDemand

# Demand is known after this time since the first request.
MIN_OBSERVATION_S = 4.0
# The highest demand within this time is planned for: load comes in bursts, and a backend
# server takes seconds to start.
PEAK_WINDOW_S = 20.0
# Demand is averaged over this time.
AVERAGE_WINDOW_S = 4.0

_Samples = collections.deque[tuple[float, float]]  # (time, tokens)


class FleetDemand:
    """Averages the demand; soft state of the control leader."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._tokens_by_service: dict[str, _Samples] = {}
        self._averages_by_service: dict[str, _Samples] = {}
        self._first_request_at_by_service: dict[str, float] = {}
        self._capacity = EngineCapacity()
        self._asked_by_service: dict[str, tuple[int, float]] = {}  # requests, tokens

    def observe(self, demand: Iterable[ServiceDemand], now: float) -> None:
        """Records the demand at one entry since its last report.

        :param demand: by service.
        :param now: monotonic seconds.
        """
        for each in demand:
            self._capacity.observe(each, now)
            requests, tokens = self._asked_by_service.get(each.service, (0, 0))
            self._asked_by_service[each.service] = (
                requests + each.requests,
                tokens + each.tokens,
            )
            if each.tokens:
                self._first_request_at_by_service.setdefault(each.service, now)
                self._tokens_by_service.setdefault(each.service, collections.deque()).append(
                    (now, each.tokens)
                )

    def has_requests(self, service: str) -> bool:
        """Returns whether any request of the service was reported.

        :param service: name of the service.
        """
        return service in self._first_request_at_by_service

    def tokens_per_request(self, service: str) -> float:
        """Returns the mean size of a request, 0 before the first one.

        :param service: name of the service.
        """
        requests, tokens = self._asked_by_service.get(service, (0, 0))
        return tokens / requests if requests else 0

    def tokens_per_engine_s(self, service: str) -> float | None:
        """Returns what an engine that is never idle answers, or None while it is not known.

        :param service: name of the service.
        """
        return self._capacity.tokens_per_s(service)

    def tokens_per_s(self, service: str, now: float) -> float | None:
        """Returns the highest recent demand in tokens per second, or None while it is not known.

        :param service: name of the service.
        :param now: monotonic seconds.
        """
        first_request_at = self._first_request_at_by_service.get(service)
        if first_request_at is None or now - first_request_at < MIN_OBSERVATION_S:
            return None
        tokens = self._tokens_by_service[service]
        while tokens and tokens[0][0] < now - AVERAGE_WINDOW_S:
            tokens.popleft()
        average = sum(amount for _, amount in tokens) / AVERAGE_WINDOW_S
        averages = self._averages_by_service.setdefault(service, collections.deque())
        averages.append((now, average))
        while averages and averages[0][0] < now - PEAK_WINDOW_S:
            averages.popleft()
        return max(amount for _, amount in averages)
