"""What callers ask of each service, for the orders of backend servers."""

import dataclasses

from geraniumrail.links.messages import ServiceDemand


@dataclasses.dataclass
class _Tally:
    requests: int = 0
    tokens: float = 0
    worked_tokens: float = 0
    read_tokens: float = 0
    batch_s: float = 0


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

    def worked(self, service: str, tokens: float, read_tokens: float, batch_s: float) -> None:
        """Counts the work of an attempt that has ended.

        :param service: name of the service.
        :param tokens: prompt and output tokens that the request names.
        :param read_tokens: prompt tokens that the engine had to read.
        :param batch_s: seconds of the whole batch of an engine that the attempt used after that.
        """
        tally = self._tallies.setdefault(service, _Tally())
        tally.worked_tokens += tokens
        tally.read_tokens += read_tokens
        tally.batch_s += batch_s

    def take(self, read_tokens_per_s: float) -> tuple[ServiceDemand, ...]:
        """Returns the counts and starts again.

        :param read_tokens_per_s: prefill rate that this entry has observed; 0: not known.
        """
        tallies = self._tallies
        self._tallies = {}
        return tuple(
            ServiceDemand(
                service=service,
                requests=tally.requests,
                tokens=tally.tokens,
                worked_tokens=tally.worked_tokens,
                read_tokens=tally.read_tokens,
                batch_s=tally.batch_s,
                read_tokens_per_s=read_tokens_per_s,
            )
            for service, tally in tallies.items()
        )
