"""Simple routing policies that the experiments compare with `choose`."""

import random
from collections.abc import Sequence

from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.eligibility import eligible_backends
from geraniumrail.routing.request import RouteRequest
from geraniumrail.routing.score_part import ScorePart


class RoundRobin:
    """Chooses backend servers in turn; entries start at random positions."""

    def __init__(self) -> None:
        """Starts without a position."""
        self._turn: int | None = None

    def __call__(
        self,
        candidates: Sequence[Backend],
        request: RouteRequest,
        tracker: BackendTracker,
        rng: random.Random,
        now: float,
    ) -> Decision:
        """Returns the next backend server; parameters as for `choose`."""
        usable = eligible_backends(candidates, request, tracker, rng, now)
        self._turn = rng.randrange(len(usable)) if self._turn is None else self._turn + 1
        return _decision(request, usable[self._turn % len(usable)], 'round_robin', 0)


def round_robin() -> RoundRobin:
    """Returns a chooser with its own position; each entry has one."""
    return RoundRobin()


def least_reported_load(
    candidates: Sequence[Backend],
    request: RouteRequest,
    tracker: BackendTracker,
    rng: random.Random,
    now: float,
) -> Decision:
    """Returns the backend server with the fewest reported requests per slot.

    :param candidates: backend servers of the service.
    :param request: what is to be sent.
    :param tracker: load and cache data of this entry.
    :param rng: breaks ties.
    :param now: monotonic seconds.
    """
    usable = eligible_backends(candidates, request, tracker, rng, now)
    loads = [_reported_occupancy(tracker.last_report(backend)) for backend in usable]
    lowest = min(loads)
    equal = [backend for backend, load in zip(usable, loads, strict=True) if load == lowest]
    return _decision(request, rng.choice(equal), 'least_reported_load', lowest)


def _reported_occupancy(report: LoadReport) -> float:
    return (report.running + report.queued) / max(1, report.slots)


def _decision(request: RouteRequest, backend: Backend, reason: str, amount: float) -> Decision:
    parts = (ScorePart(reason, amount),)
    return Decision(request.request_id, request.service, backend, amount, parts, (), reason)
