"""Checks the limit of an organisation over all entries."""

import functools

from geraniumrail.core.events import log
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.errors.link import LinkError
from geraniumrail.errors.request import NotRunError, OverloadedError
from geraniumrail.fairness.quota import Claim
from geraniumrail.forwarding import events
from geraniumrail.forwarding.admitted import Admitted, spread
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts

SHORTEST_RETRY_S = 0.05
# Callers come back so long after no leader could be asked; an election is over by then.
NO_LEADER_RETRY_S = 0.6


async def check_limit(inbound: Inbound, admitted: Admitted, parts: Parts) -> None:
    """Takes a request into account.

    :param inbound: the request.
    :param admitted: how it is forwarded.
    :param parts: of the entry.
    :raises OverloadedError: if the organisation is above its limit.
    :raises NotRunError: if no leader could be asked.
    """
    organisation = admitted.holder
    if organisation is None:
        return
    cost = organisation.cost(inbound.tokens)
    claim = parts.quota.claim(organisation, cost, parts.clock.now())
    wait_s = claim.wait_s
    if claim.shortfall > 0:
        wait_s = await _borrow(admitted, organisation, claim, parts)
    if wait_s > 0:
        raise _refused(inbound, organisation, parts, wait_s)


async def _borrow(
    admitted: Admitted, organisation: Organisation, claim: Claim, parts: Parts
) -> float:
    left_s = admitted.ends_at - parts.clock.now()
    limit_s = min(parts.config.limit_wait_s, left_s * parts.config.limit_wait_part)
    lent = False
    try:
        wait_s = await parts.lender.borrow(
            organisation.name,
            claim.shortfall,
            limit_s,
            functools.partial(_admit_without_leader, organisation, claim.shortfall, parts),
        )
        lent = wait_s <= 0
    except LinkError as error:
        raise NotRunError(
            reason=f'the limit of the organisation is not known: {error}',
            retry_after_s=spread(NO_LEADER_RETRY_S, parts.rng),
        ) from error
    finally:
        # Also if the caller has left: others of its organisation may use it.
        if not lent:
            parts.quota.refund(organisation.name, claim.taken)
    if not lent:
        parts.quota.back_off(organisation.name, wait_s, parts.clock.now())
    return wait_s


def _admit_without_leader(
    organisation: Organisation, cost: float, parts: Parts, heard_at: float
) -> bool:
    now, lent_per_s = parts.clock.now(), parts.quota.central_rate_per_s(organisation)
    admitted = parts.leaderless.admit(organisation.name, cost, lent_per_s, now, heard_at)
    if admitted:
        log(
            events.ADMITTED_WITHOUT_LEADER,
            organisation=organisation.name,
            cost=cost,
            heard_s=round(now - heard_at, 3),
            lent_per_s=round(lent_per_s),
        )
    return admitted


def _refused(
    inbound: Inbound, organisation: Organisation, parts: Parts, wait_s: float
) -> OverloadedError:
    log(
        events.LIMIT_EXCEEDED,
        request=inbound.request_id,
        organisation=organisation.name,
        config=parts.view.table.version,
        cost=organisation.cost(inbound.tokens),
        rate_per_s=organisation.rate_per_s,
        left=round(parts.quota.left(organisation.name)),
        part=round(parts.quota.part(organisation.name), 3),
        wait_s=round(wait_s, 3),
    )
    return OverloadedError(
        reason='limit of the organisation',
        retry_after_s=spread(max(wait_s, SHORTEST_RETRY_S), parts.rng),
    )
