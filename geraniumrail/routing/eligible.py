"""Which backend servers may take a request."""

import functools
import random
from collections.abc import Iterable, Sequence, Set

from geraniumrail.core.backend import Backend
from geraniumrail.errors.backend import NoBackendError
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.request import LanguageRequest, RouteRequest


def eligible(
    candidates: Iterable[Backend],
    request: RouteRequest,
    knowledge: BackendTracker,
    rng: random.Random,
    now: float,
) -> Sequence[Backend]:
    """Returns the usable backend servers of one version, drawn by the version shares.

    A version with no usable backend server passes its turn to the others with a share above zero.

    :param candidates: backend servers of the service.
    :param request: what is to be sent.
    :param knowledge: this entry's view.
    :param rng: source of the draw.
    :param now: monotonic seconds.
    :raises NoBackendError: if none is left.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.service == request.service
        and candidate.instance not in request.excluded
        and serves(request, candidate)
        and knowledge.is_usable(candidate, now)
    ]
    if request.version_shares:
        version = _draw_version(request.version_shares, {each.version for each in usable}, rng)
        usable = [each for each in usable if each.version == version]
    if usable:
        return usable
    raise NoBackendError(service=request.service)


@functools.singledispatch
def serves(request: RouteRequest, backend: Backend) -> bool:
    """Tells whether the backend server can answer this kind of request.

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
    mark = rng.random() * sum(possible.values())
    for version, share in possible.items():
        mark -= share
        if mark < 0:
            return version
    return next(reversed(possible), None)
