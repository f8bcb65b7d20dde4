"""Demand of the services over the last seconds, as the entries report it."""

import collections
from collections.abc import Iterable

from geraniumrail.links.messages import ServiceDemand

# Demand counts as known after this time with requests.
KNOWN_AFTER_S = 4.0
# The highest demand of this time is planned for: callers come in bursts, and a start takes seconds.
PEAK_S = 20.0
# Demand is averaged over this time.
AVERAGE_S = 4.0

_Samples = collections.deque[tuple[float, float]]  # (time, tokens)


class FleetDemand:
    """Soft state of the control leader."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._tokens: dict[str, _Samples] = {}
        self._peaks: dict[str, _Samples] = {}
        self._since: dict[str, float] = {}

    def observe(self, demand: Iterable[ServiceDemand], now: float) -> None:
        """Takes the demand of one entry since its last report.

        :param demand: by service.
        :param now: monotonic seconds.
        """
        for each in demand:
            if each.tokens:
                self._since.setdefault(each.service, now)
                self._tokens.setdefault(each.service, collections.deque()).append(
                    (now, each.tokens)
                )

    def has_requests(self, service: str) -> bool:
        """Tells whether any request of the service was reported.

        :param service: name of the service.
        """
        return service in self._since

    def tokens_per_s(self, service: str, now: float) -> float | None:
        """Returns the highest recent demand, or None while it is not known.

        :param service: name of the service.
        :param now: monotonic seconds.
        """
        since = self._since.get(service)
        if since is None or now - since < KNOWN_AFTER_S:
            return None
        tokens = self._tokens[service]
        while tokens and tokens[0][0] < now - AVERAGE_S:
            tokens.popleft()
        average = sum(amount for _, amount in tokens) / AVERAGE_S
        peaks = self._peaks.setdefault(service, collections.deque())
        peaks.append((now, average))
        while peaks and peaks[0][0] < now - PEAK_S:
            peaks.popleft()
        return max(amount for _, amount in peaks)
