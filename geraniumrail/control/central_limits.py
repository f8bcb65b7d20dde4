"""Answers the entries' requests for tokens from the central buckets."""

import math

from geraniumrail.control.control import Control
from geraniumrail.control.leader_job import LeaderJob
from geraniumrail.core.events import log
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness import events
from geraniumrail.fairness.central_buckets import CentralBuckets, Reporting
from geraniumrail.fairness.limit_spending import Asked
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.messages import EntryReport
from geraniumrail.links.report_interval import report_interval_s
from geraniumrail.links.requests import LimitTaken, TakeLimit

# An entry whose report is overdue by so much may be cut off.
OVERDUE_S = 0.5
# What is known of the entries is counted again after this time rather than for each request.
RECOUNT_S = 0.1


class CentralLimits(LeaderJob):
    """Answers on the leader only; the buckets start empty with each leadership."""

    name = 'lender'

    def __init__(self, control: Control, buckets: CentralBuckets) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        :param buckets: central buckets, used while this process leads.
        """
        self._control = control
        self._buckets = buckets
        self._indexed_version = 0
        self._organisations_by_name: dict[str, Organisation] = {}
        self._counted = Reporting()
        self._counted_at = -math.inf
        control.publisher.report_sinks.append(self)

    def register(self, datagrams: Datagrams) -> None:
        """Registers the handler for requests of the entries.

        :param datagrams: datagram endpoint of this process.
        """
        datagrams.register(TakeLimit, self.take_limit)

    def became_leader(self) -> None:
        """Empties the buckets."""
        self._buckets.restart(self._control.now())
        self._counted_at = -math.inf

    async def run_once(self) -> None:
        """Does nothing: the buckets are filled when tokens are taken."""

    def take_limit(self, request: TakeLimit) -> LimitTaken:
        """Takes the tokens that an entry lacks from the central bucket.

        :param request: organisation and number of tokens.
        """
        if not self._control.leadership.is_active():
            return LimitTaken(leads=False)
        self._index_organisations(self._control.machine.tables.deployment)
        organisation = self._organisations_by_name.get(request.organisation)
        if organisation is None:
            # The entry and the leader have different versions of the configuration.
            return LimitTaken(leads=False)
        now = self._control.now()
        reporting = self._reporting(now)
        if request.size <= 0:
            # The entry has an earlier version, which does not tell the size.
            return LimitTaken(
                wait_s=self._buckets.take(organisation, request.cost, now, reporting),
                starting=self._buckets.is_starting(now),
            )
        grant = self._buckets.decide(organisation, request.cost, now, reporting, _asked(request))
        if grant.became_scarce:
            self._log_scarce(organisation, now)
        return LimitTaken(
            wait_s=grant.wait_s,
            starting=self._buckets.is_starting(now),
            retry_after_s=grant.retry_after_s,
            mean=grant.mean,
        )

    def observe(self, report: EntryReport, now: float) -> None:
        """Charges what an entry has admitted by itself.

        :param report: the report of the entry.
        :param now: monotonic seconds.
        """
        self._index_organisations(self._control.machine.tables.deployment)
        reporting = self._reporting(now)
        for usage in report.usage:
            organisation = self._organisations_by_name.get(usage.organisation)
            if organisation is not None and usage.admitted:
                self._buckets.charge(organisation, usage.admitted, now, reporting)

    def _reporting(self, now: float) -> Reporting:
        if now >= self._counted_at + RECOUNT_S:
            self._counted_at = now
            publisher = self._control.publisher
            publisher.usage_shares.scarce_means = self._buckets.scarce_means(now)
            entries = publisher.usage_shares.entries
            interval_s = report_interval_s(entries)
            self._counted = Reporting(
                entries=entries,
                silent=publisher.leases.silent(now, interval_s + OVERDUE_S),
                complete=publisher.leases.knows_all_leases(now),
                interval_s=interval_s,
            )
        return self._counted

    def _log_scarce(self, organisation: Organisation, now: float) -> None:
        spending = self._buckets.spending(organisation.name)
        log(
            events.LIMIT_SCARCE,
            organisation=organisation.name,
            rate_per_s=organisation.rate_per_s,
            mean=round(spending.mean(now)),
            small_per_s=round(spending.small_per_s(now)),
        )

    def _index_organisations(self, deployment: Deployment) -> None:
        if deployment.version != self._indexed_version:
            self._indexed_version = deployment.version
            self._organisations_by_name = {each.name: each for each in deployment.organisations}


def _asked(request: TakeLimit) -> Asked:
    return Asked(
        cost=request.size or request.cost,  # entries of earlier versions tell no size
        rank=request.rank,
        local_admitted=request.local_admitted,
        local_rejected=request.local_rejected,
        local_tokens=request.local_tokens,
        known_mean=request.known_mean,
    )
