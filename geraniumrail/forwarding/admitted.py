"""Decides whether a request may be forwarded, and how."""

import dataclasses
import random

from geraniumrail.core.backend import Backend
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.deployment.route import Route
from geraniumrail.deployment.route_table import RouteTable
from geraniumrail.errors.deployment import UnknownRouteError
from geraniumrail.errors.request import NotRunError, UnauthorizedError
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts
from geraniumrail.quarantine.fingerprint import fingerprint_of

# Callers come back this long after a refusal by an entry that has lost control; by then another
# entry is given out, or a leader is elected.
LEASE_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """A request with its route, service and organisation."""

    route: Route
    service: str
    organisation: str
    priority: int
    ends_at: float  # seconds of this process's clock; the answer is due then
    # Shared prompt parts and the fingerprint: what is known of crashes is known of these.
    traits: tuple[str, ...] = ()
    holder: Organisation | None = None  # whose limit the request counts towards
    allowed_regions: frozenset[str] | None = None  # of its backend servers; None: all


def admit(inbound: Inbound, parts: Parts) -> Admitted:
    """Admits a request or raises the failure to answer.

    :param inbound: the request.
    :param parts: of the entry.
    :raises NotRunError: if this entry may not serve now.
    :raises UnknownRouteError: if no route matches.
    :raises UnauthorizedError: if the key is not known.
    """
    view = parts.view
    table = view.table
    if not table.version or not view.holds_lease():
        raise NotRunError(
            reason='this entry has no confirmed configuration',
            retry_after_s=spread(LEASE_RETRY_S, parts.rng),
        )
    route = table.route(inbound.host, inbound.path)
    if route is None:
        raise UnknownRouteError(host=inbound.host, path=inbound.path)
    organisation = _organisation(inbound, route, table)
    service = draw_service(route, parts.rng)
    limit_s = min(route.timeout_s, inbound.deadline_s or route.timeout_s)
    name = '' if organisation is None else organisation.name
    fingerprint = fingerprint_of(name, inbound.method, inbound.target, inbound.body)
    urgent = route.priority
    if organisation is not None and organisation.priority is not None:
        urgent = organisation.priority
    return Admitted(
        route=route,
        service=service,
        organisation=name,
        priority=urgent,
        ends_at=inbound.arrived_at + limit_s,
        traits=(*inbound.shared_part_ids, fingerprint),
        holder=organisation,
        allowed_regions=_allowed_regions(route, organisation),
    )


def allows(admitted: Admitted, backend: Backend) -> bool:
    """Returns whether a backend server is in a region where the request may be handled.

    :param admitted: the request.
    :param backend: the backend server; one whose region is not known is in no allowed region.
    """
    return admitted.allowed_regions is None or backend.region in admitted.allowed_regions


def _allowed_regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Returns the regions that both allow, which may be none; None: all regions."""
    lists = [route.allowed_regions, () if organisation is None else organisation.allowed_regions]
    limits = [frozenset(regions) for regions in lists if regions]
    return frozenset.intersection(*limits) if limits else None


def draw_service(route: Route, rng: random.Random) -> str:
    """Draws one of the services of a route by weight.

    :param route: the route.
    :param rng: source of the draw.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


def spread(seconds: float, rng: random.Random) -> float:
    """Returns a time around another, so that callers do not come back all at once.

    :param seconds: the middle.
    :param rng: source of the draw.
    """
    return round(seconds * rng.uniform(0.5, 1.5), 3)


def _organisation(inbound: Inbound, route: Route, table: RouteTable) -> Organisation | None:
    if not table.has_organisations or route.anonymous:
        return None
    organisation = None if inbound.api_key is None else table.organisation(inbound.api_key)
    if organisation is None:
        raise UnauthorizedError
    return organisation
