"""Decides whether a request may be forwarded, and how."""

import dataclasses
import random

from geraniumrail.core.events import log
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.deployment.route import Route
from geraniumrail.deployment.route_table import RouteTable
from geraniumrail.errors.deployment import UnknownRouteError
from geraniumrail.errors.request import NotRunError, OverloadedError, UnauthorizedError
from geraniumrail.forwarding import events
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts

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


def admit(inbound: Inbound, parts: Parts) -> Admitted:
    """Admits a request or raises the failure to answer.

    :param inbound: the request.
    :param parts: of the entry.
    :raises NotRunError: if this entry may not serve now.
    :raises UnknownRouteError: if no route matches.
    :raises UnauthorizedError: if the key is not known.
    :raises OverloadedError: if the organisation is above its limit.
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
    if organisation is not None:
        _check_quota(inbound, organisation, parts)
    parts.demand.asked(service, inbound.tokens or 0)
    limit_s = min(route.timeout_s, inbound.deadline_s or route.timeout_s)
    urgent = route.priority
    if organisation is not None and organisation.priority is not None:
        urgent = organisation.priority
    return Admitted(
        route=route,
        service=service,
        organisation='' if organisation is None else organisation.name,
        priority=urgent,
        ends_at=inbound.arrived_at + limit_s,
    )


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


def _check_quota(inbound: Inbound, organisation: Organisation, parts: Parts) -> None:
    cost = organisation.cost(inbound.tokens)
    wait_s = parts.quota.take(organisation, cost, parts.clock.now())
    if wait_s > 0:
        log(
            events.LIMIT_EXCEEDED,
            request=inbound.request_id,
            organisation=organisation.name,
            config=parts.view.table.version,
            cost=cost,
            left=round(parts.quota.left(organisation.name)),
            part=round(parts.quota.part(organisation.name), 3),
            wait_s=round(wait_s, 3),
        )
        raise OverloadedError(
            reason='limit of the organisation',
            retry_after_s=spread(max(wait_s, 0.05), parts.rng),
        )
