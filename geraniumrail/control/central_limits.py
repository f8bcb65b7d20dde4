"""Answers the entries' requests for tokens from the central buckets."""

from geraniumrail.control.control import Control
from geraniumrail.control.leader_job import LeaderJob
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.central_buckets import CentralBuckets
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.requests import LimitTaken, TakeLimit


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

    def register(self, datagrams: Datagrams) -> None:
        """Registers the handler for requests of the entries.

        :param datagrams: datagram endpoint of this process.
        """
        datagrams.register(TakeLimit, self.take_limit)

    def became_leader(self) -> None:
        """Empties the buckets."""
        self._buckets.restart(self._control.now())

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
        entries = self._control.publisher.usage_shares.entries
        now = self._control.now()
        return LimitTaken(
            wait_s=self._buckets.take(organisation, request.cost, now, entries),
            starting=self._buckets.is_starting(now),
        )

    def _index_organisations(self, deployment: Deployment) -> None:
        if deployment.version != self._indexed_version:
            self._indexed_version = deployment.version
            self._organisations_by_name = {each.name: each for each in deployment.organisations}
