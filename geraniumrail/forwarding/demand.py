"""What callers ask of each service, for the orders of backend servers."""

import dataclasses

from geraniumrail.links.messages import ServiceDemand


@dataclasses.dataclass
class _Tally:
    requests: int = 0
    tokens: float = 0


class DemandCounter:
    """Counts requests and tokens since the last report, refused requests included."""

    def __init__(self) -> None:
        """Starts empty."""
        self._tallies: dict[str, _Tally] = {}

    def asked(self, service: str, tokens: float) -> None:
        """Counts a request.

        :param service: name of the service.
        :param tokens: prompt and output tokens that it names.
        """
        tally = self._tallies.setdefault(service, _Tally())
        tally.requests += 1
        tally.tokens += tokens

    def take(self) -> tuple[ServiceDemand, ...]:
        """Returns the counts and starts again."""
        tallies = self._tallies
        self._tallies = {}
        return tuple(
            ServiceDemand(service=service, requests=tally.requests, tokens=tally.tokens)
            for service, tally in tallies.items()
        )
