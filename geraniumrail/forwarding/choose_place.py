"""Chooses the backend server of an attempt, after waiting for a place there if it is limited."""

from geraniumrail.admission.ask import Ask
from geraniumrail.core.backend import Backend
from geraniumrail.errors.request import NotRunError
from geraniumrail.forwarding.admitted import Admitted, allows, spread
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts
from geraniumrail.routing.choice import choose
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.eligibility import eligible_backends
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.request import RouteRequest


async def choose_place(
    inbound: Inbound, admitted: Admitted, parts: Parts, request: RouteRequest, *, is_repeat: bool
) -> Decision:
    """Returns the decision for a backend server whose place is taken.

    :param inbound: the caller's request.
    :param admitted: how it is forwarded.
    :param parts: of the entry.
    :param request: what is to be sent.
    :param is_repeat: whether an earlier attempt may have run.
    :raises NoBackendError: if no backend server may take the request.
    :raises NotRunError: if no place will be free in time.
    """
    while parts.places.limits(admitted.service):
        candidates = candidates_of(admitted, parts)
        found = eligible_backends(
            candidates, request, parts.view.knowledge, parts.rng, parts.clock.now()
        )
        allowed = frozenset(each.instance for each in found)
        try:
            place = await parts.places.enter(
                admitted.service, _ask(inbound, admitted, is_repeat=is_repeat), allowed
            )
        except NotRunError as error:
            retry_after_s = float(str(error.fields['retry_after_s']))
            raise NotRunError(
                reason=error.fields['reason'], retry_after_s=spread(retry_after_s, parts.rng)
            ) from error
        candidates = candidates_of(admitted, parts)
        present = [each for each in candidates if each.instance in place.instances]
        if present:
            decision = _choose(present, request, parts)
            place.take(decision.backend.instance)
            return decision
        place.give_back()  # its backend server has gone meanwhile
    return _choose(candidates_of(admitted, parts), request, parts)


def candidates_of(admitted: Admitted, parts: Parts) -> list[Backend]:
    """Returns the usable backend servers in the allowed regions of a request.

    :param admitted: the request.
    :param parts: of the entry.
    """
    usable = parts.view.usable(admitted.service)
    if admitted.allowed_regions is None:
        return usable
    return [backend for backend in usable if allows(admitted, backend)]


def _ask(inbound: Inbound, admitted: Admitted, *, is_repeat: bool) -> Ask:
    target_s = admitted.route.target_s
    due_at = inbound.arrived_at + target_s if target_s else admitted.ends_at
    return Ask(
        organisation=admitted.organisation,
        route=admitted.route.name,
        rank=admitted.priority,
        target_s=target_s,
        due_at=min(due_at, admitted.ends_at),
        ends_at=admitted.ends_at,
        is_repeat=is_repeat,
    )


def _choose(candidates: list[Backend], request: RouteRequest, parts: Parts) -> Decision:
    decision = choose(candidates, request, parts.view.knowledge, parts.rng, parts.clock.now())
    log_decision(decision)
    return decision
