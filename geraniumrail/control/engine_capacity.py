"""Throughput of one engine of each service, learned from the requests that engines answered."""

import dataclasses
import math

from geraniumrail.links.messages import ServiceDemand

# Time constant of the average: long enough for many prompts of each size, short enough to follow
# caches that were lost.
AVERAGING_S = 20.0


@dataclasses.dataclass(frozen=True)
class _Work:
    """Decaying sums, and the highest recent prefill rate."""

    at: float
    tokens: float = 0
    read_tokens: float = 0
    batch_s: float = 0
    read_tokens_per_s: float = 0

    def add(self, reported: ServiceDemand, now: float) -> '_Work':
        kept = math.exp(min(0, self.at - now) / AVERAGING_S)
        return _Work(
            at=now,
            tokens=self.tokens * kept + reported.worked_tokens,
            read_tokens=self.read_tokens * kept + reported.read_tokens,
            batch_s=self.batch_s * kept + reported.batch_s,
            read_tokens_per_s=max(self.read_tokens_per_s * kept, reported.read_tokens_per_s),
        )


class EngineCapacity:
    """Ratio of the tokens that requests named to the engine time that they took.

    An engine reads prompts one after the other and generates for a batch of requests at once. So a
    request takes the time to read what is not cached, and its slot of the batch while it generates.
    """

    def __init__(self) -> None:
        """Starts without answers."""
        self._work_by_service: dict[str, _Work] = {}

    def observe(self, reported: ServiceDemand, now: float) -> None:
        """Records work that engines have done.

        :param reported: work that one entry has seen since its last report.
        :param now: monotonic seconds.
        """
        if reported.worked_tokens > 0:
            known = self._work_by_service.get(reported.service, _Work(now))
            self._work_by_service[reported.service] = known.add(reported, now)

    def tokens_per_s(self, service: str) -> float | None:
        """Returns the tokens per second of one engine that is never idle, or None if not known.

        :param service: name of the service.
        """
        work = self._work_by_service.get(service)
        if work is None or work.read_tokens_per_s <= 0:
            return None
        return work.tokens / (work.read_tokens / work.read_tokens_per_s + work.batch_s)
