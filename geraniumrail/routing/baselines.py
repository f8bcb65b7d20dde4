"""Simple choices that the experiments compare with `choose`."""

import random
from collections.abc import Sequence

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.eligible import eligible
from geraniumrail.routing.request import RouteRequest
from geraniumrail.routing.score_part import ScorePart


class RoundRobin:
    """Takes backend servers in turn; entries start at different places."""

    def __init__(self) -> None:
        """Starts before the first turn."""
        self._turn: int | None = None

    def __call__(
        self,
        candidates: Sequence[Backend],
        request: RouteRequest,
        knowledge: BackendTracker,
        rng: random.Random,
        now: float,
    ) -> Decision:
        """Returns the next in turn; parameters as for `choose`."""
        usable = eligible(candidates, request, knowledge, rng, now)
        self._turn = rng.randrange(len(usable)) if self._turn is None else self._turn + 1
        return _decision(request, usable[self._turn % len(usable)], 'round_robin', 0)


def round_robin() -> RoundRobin:
    """Returns a chooser with its own turn; each entry has one."""
    return RoundRobin()


def least_reported_load(
    candidates: Sequence[Backend],
    request: RouteRequest,
    knowledge: BackendTracker,
    rng: random.Random,
    now: float,
) -> Decision:
    """Returns the one with the fewest reported requests for each slot, as all entries see it.

    :param candidates: backend servers of the service.
    :param request: what is to be sent.
    :param knowledge: this entry's view.
    :param rng: breaks ties.
    :param now: monotonic seconds.
    """
    usable = eligible(candidates, request, knowledge, rng, now)
    loads = [_reported_occupancy(knowledge.report_of(backend)) for backend in usable]
    lowest = min(loads)
    equal = [backend for backend, load in zip(usable, loads, strict=True) if load == lowest]
    return _decision(request, rng.choice(equal), 'least_reported_load', lowest)


def _reported_occupancy(report: LoadReport) -> float:
    return (report.running + report.queued) / max(1, report.slots)


def _decision(request: RouteRequest, backend: Backend, reason: str, amount: float) -> Decision:
    parts = (ScorePart(reason, amount),)
    return Decision(request.request_id, request.service, backend, amount, parts, (), reason)
