"""Throughput of one engine of each service, learned from the requests that engines answered."""

import dataclasses
import math

from geraniumrail.links.messages import ServiceDemand

# Time constant of the average: long enough for many prompts of each size, short enough to follow
# caches that were lost.
AVERAGING_S = 20.0


@dataclasses.dataclass(frozen=True)
class _Work:
    tokens: float
    engine_s: float
    at: float


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
        if reported.worked_tokens <= 0 or reported.read_tokens_per_s <= 0:
            return
        reading_s = reported.read_tokens / reported.read_tokens_per_s
        known = self._work_by_service.get(reported.service, _Work(0, 0, now))
        kept = math.exp(min(0, known.at - now) / AVERAGING_S)
        self._work_by_service[reported.service] = _Work(
            tokens=known.tokens * kept + reported.worked_tokens,
            engine_s=known.engine_s * kept + reading_s + reported.batch_s,
            at=now,
        )

    def tokens_per_s(self, service: str) -> float | None:
        """Returns the tokens per second of one engine that is never idle, or None if not known.

        :param service: name of the service.
        """
        work = self._work_by_service.get(service)
        return None if work is None or work.engine_s <= 0 else work.tokens / work.engine_s
