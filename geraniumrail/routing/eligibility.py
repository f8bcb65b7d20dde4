"""Which backend servers may take a request."""

import functools
import random
from collections.abc import Iterable, Sequence, Set

from geraniumrail.core.backend import Backend
from geraniumrail.errors.backend import NoBackendError
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.request import LanguageRequest, RouteRequest


def eligible_backends(
    candidates: Iterable[Backend],
    request: RouteRequest,
    tracker: BackendTracker,
    rng: random.Random,
    now: float,
) -> Sequence[Backend]:
    """Returns the usable backend servers of one version, drawn by the version shares.

    Versions without a usable backend server or with a share of zero are not drawn.

    :param candidates: backend servers of the service.
    :param request: what is to be sent.
    :param tracker: load and cache data of this entry.
    :param rng: source of the draw.
    :param now: monotonic seconds.
    :raises NoBackendError: if there is none.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.service == request.service
        and candidate.instance not in request.excluded
        and serves(request, candidate)
        and tracker.is_usable(candidate, now)
    ]
    if request.version_shares:
        version = _draw_version(request.version_shares, {each.version for each in usable}, rng)
        usable = [each for each in usable if each.version == version]
    if usable:
        return usable
    raise NoBackendError(service=request.service)


@functools.singledispatch
def serves(request: RouteRequest, backend: Backend) -> bool:
    """Returns whether the backend server can answer this kind of request.

    :param request: what is to be sent.
    :param backend: candidate.
    """
    return True


@serves.register
def _language(request: LanguageRequest, backend: Backend) -> bool:
    return not request.model or request.model in backend.models


def _draw_version(
    shares: Iterable[tuple[str, float]],
    present: Set[str],
    rng: random.Random,
) -> str | None:
    possible = {version: share for version, share in shares if share > 0 and version in present}
    point = rng.random() * sum(possible.values())
    for version, share in possible.items():
        point -= share
        if point < 0:
            return version
    return next(reversed(possible), None)
