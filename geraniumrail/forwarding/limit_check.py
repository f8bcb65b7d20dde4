"""Checks the limit of an organisation over all entries."""

import dataclasses
import functools
import math

from geraniumrail.core.events import log
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.errors.link import LinkError
from geraniumrail.errors.request import NotRunError, OverloadedError
from geraniumrail.fairness.limit_spending import useful_wait_s
from geraniumrail.fairness.quota import MAX_BACK_OFF_S, Claim
from geraniumrail.forwarding import events
from geraniumrail.forwarding.admitted import Admitted, spread
from geraniumrail.forwarding.inbound import Inbound
from geraniumrail.forwarding.parts import Parts
from geraniumrail.links.requests import LimitTaken, TakeLimit

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
    claim = parts.quota.claim(organisation, cost, parts.clock.now(), admitted.priority)
    if claim.shortfall > 0:
        answer = await _borrow(admitted, organisation, cost, claim, parts)
        reason = _reason(claim, answer)
    else:
        # The local part is used up, or the leader rejected an equal request a moment ago.
        retry_s: float = 0
        if claim.is_large:
            retry_s = parts.quota.scarce.large_retry_s(organisation.name, parts.clock.now())
        answer = LimitTaken(wait_s=claim.wait_s, retry_after_s=retry_s)
        reason = 'local'
    if answer.wait_s > 0:
        raise _refused(inbound, admitted, organisation, parts, answer, claim, reason)


def _reason(claim: Claim, answer: LimitTaken) -> str:
    if not answer.leads:
        return 'no_leader'
    return 'reserved' if claim.is_large else 'empty'


async def _borrow(
    admitted: Admitted, organisation: Organisation, cost: float, claim: Claim, parts: Parts
) -> LimitTaken:
    left_s = admitted.ends_at - parts.clock.now()
    limit_s = min(parts.config.limit_wait_s, left_s * parts.config.limit_wait_part)
    lent = False
    try:
        answer = await parts.lender.borrow(
            _question(admitted, organisation, cost, claim, parts),
            limit_s,
            functools.partial(_admit_without_leader, organisation, claim.shortfall, parts),
        )
        lent = answer.wait_s <= 0
    except LinkError as error:
        raise NotRunError(
            reason=f'the limit of the organisation is not known: {error}',
            retry_after_s=spread(NO_LEADER_RETRY_S, parts.rng),
        ) from error
    finally:
        # Also if the caller has left: others of its organisation may use it.
        if not lent:
            parts.quota.refund(organisation.name, claim.taken)
    _note(organisation, claim, answer, parts)
    return answer


def _question(
    admitted: Admitted, organisation: Organisation, cost: float, claim: Claim, parts: Parts
) -> TakeLimit:
    question = TakeLimit(organisation=organisation.name, cost=claim.shortfall)
    if not organisation.in_tokens:
        return question
    asked = parts.quota.scarce.pop_asked(
        organisation.name, cost, admitted.priority, parts.clock.now()
    )
    return dataclasses.replace(
        question,
        size=cost,
        rank=asked.rank,
        local_admitted=asked.local_admitted,
        local_rejected=asked.local_rejected,
        local_tokens=asked.local_tokens,
        known_mean=asked.known_mean,
    )


def _note(organisation: Organisation, claim: Claim, answer: LimitTaken, parts: Parts) -> None:
    name, now, scarce = organisation.name, parts.clock.now(), parts.quota.scarce
    if answer.leads:
        scarce.note(name, answer.mean, now)
    else:
        scarce.extend(name, now)
    if answer.wait_s > 0 and answer.leads:
        if claim.is_large:
            wait_s = min(answer.wait_s, MAX_BACK_OFF_S)
            scarce.back_off_large(name, wait_s, answer.retry_after_s, now)
        else:
            parts.quota.back_off(name, answer.wait_s, now)


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
    inbound: Inbound,
    admitted: Admitted,
    organisation: Organisation,
    parts: Parts,
    answer: LimitTaken,
    claim: Claim,
    reason: str,
) -> OverloadedError:
    now, scarce = parts.clock.now(), parts.quota.scarce
    mean = scarce.mean(organisation.name, now)
    likely_s = max(answer.wait_s, answer.retry_after_s)
    retry_after_s = spread(max(likely_s, SHORTEST_RETRY_S), parts.rng)
    if mean:
        target_s = admitted.route.target_s or math.inf
        useful_s = useful_wait_s(
            retry_after_s, admitted.ends_at - now, inbound.arrived_at + target_s - now
        )
        retry_after_s = max(useful_s, spread(SHORTEST_RETRY_S, parts.rng))
    scarce.rejected[organisation.name, reason] += 1
    log(
        events.LIMIT_EXCEEDED,
        request=inbound.request_id,
        organisation=organisation.name,
        config=parts.view.table.version,
        cost=organisation.cost(inbound.tokens),
        rate_per_s=organisation.rate_per_s,
        left=round(parts.quota.left(organisation.name)),
        part=round(parts.quota.part(organisation.name), 3),
        wait_s=round(answer.wait_s, 3),
        reason=reason,
        is_large=claim.is_large,
        mean=round(mean),
        likely_s=round(likely_s, 3),
    )
    return OverloadedError(
        reason='limit of the organisation', retry_after_s=round(retry_after_s, 3)
    )
