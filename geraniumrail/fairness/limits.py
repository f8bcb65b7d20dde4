"""Limits of organisations, divided over the entries."""

import math

from geraniumrail.errors.request import OverloadedError
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.fairness.organisation_limit import OrganisationLimit
from geraniumrail.fairness.token_bucket import TokenBucket

BURST_S = 2.0
CONCURRENT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60
# Demand above this multiple of the limit is not reported, or a flood at one entry would take the
# share of the organisation's callers at the others.
MAX_DEMAND_FACTOR = 1.0


class _Usage:
    def __init__(self) -> None:
        self.requests = TokenBucket(BURST_S)
        self.tokens = TokenBucket(BURST_S)
        self.concurrent = 0
        self.demand: float = 0
        self.limit = OrganisationLimit()


class Limits:
    """Admits requests within this entry's share of the limits, without asking the leader."""

    def __init__(self, entries: int = 1) -> None:
        """Starts with an equal share.

        :param entries: number of entries, used until the first update.
        """
        self._share = EntryShare(entries=entries, share_by_organisation={})
        self._updated = False
        self._usage_by_organisation: dict[str, _Usage] = {}

    def update(self, share: EntryShare) -> None:
        """Applies the shares sent by the leader.

        :param share: newest shares.
        """
        self._share = share
        self._updated = True

    def share(self, organisation: str) -> float:
        """Returns the share of the limits that this entry may use.

        :param organisation: name.
        """
        entries = max(1, self._share.entries)
        recent = self._share.share_by_organisation.get(organisation, 0)
        # Half an equal share is kept for an entry that the organisation has just begun to use.
        return max(recent, 1 / (2 * entries)) if self._updated else 1 / entries

    def admit(self, organisation: str, tokens: float, limit: OrganisationLimit, now: float) -> None:
        """Charges a request to the limits, or refuses it.

        :param organisation: name.
        :param tokens: estimated prompt and answer tokens.
        :param limit: limits over all entries.
        :param now: monotonic seconds.
        :raises OverloadedError: if a limit is exceeded; nothing is charged then.
        """
        usage = self._usage_by_organisation.setdefault(organisation, _Usage())
        usage.demand += tokens
        usage.limit = limit
        share = self.share(organisation)
        if usage.concurrent >= max(1, limit.concurrent * share):
            raise OverloadedError(reason='concurrent limit', retry_after_s=CONCURRENT_RETRY_AFTER_S)
        self._check('requests_per_s', usage.requests.wait_s(1, limit.requests_per_s * share, now))
        self._check('tokens_per_s', usage.tokens.wait_s(tokens, limit.tokens_per_s * share, now))
        usage.requests.take(1, limit.requests_per_s * share, now)
        usage.tokens.take(tokens, limit.tokens_per_s * share, now)
        usage.concurrent += 1

    def finish(self, organisation: str, estimated: float, tokens: float, now: float) -> None:
        """Records the end of a request and corrects its charge.

        :param organisation: name.
        :param estimated: tokens given to `admit`.
        :param tokens: tokens that it used.
        :param now: monotonic seconds.
        """
        usage = self._usage_by_organisation.get(organisation)
        if usage is None:
            return
        usage.concurrent = max(0, usage.concurrent - 1)
        rate = usage.limit.tokens_per_s * self.share(organisation)
        usage.tokens.take(tokens - estimated, rate, now)

    def pop_demand(self, elapsed_s: float) -> dict[str, float]:
        """Returns the tokens requested since the last call, for the report to the control leader.

        :param elapsed_s: seconds since the last call.
        """
        demand = {
            organisation: min(
                usage.demand, MAX_DEMAND_FACTOR * usage.limit.tokens_per_s * elapsed_s
            )
            for organisation, usage in self._usage_by_organisation.items()
            if usage.demand
        }
        for usage in self._usage_by_organisation.values():
            usage.demand = 0
        return demand

    def _check(self, reason: str, wait_s: float) -> None:
        if wait_s > 0:
            retry_after_s = (
                min(MAX_RETRY_AFTER_S, max(1, math.ceil(wait_s)))
                if math.isfinite(wait_s)
                else MAX_RETRY_AFTER_S
            )
            raise OverloadedError(reason=reason, retry_after_s=retry_after_s)
