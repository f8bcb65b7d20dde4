"""Lends parts of the organisations' limits to the entries."""

from geraniumrail.control.control import Control
from geraniumrail.control.leader_job import LeaderJob
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.limit_ledger import LimitLedger
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.requests import LimitTaken, TakeLimit


class CentralLimits(LeaderJob):
    """Answers on the leader; its ledger starts again with each leadership."""

    name = 'lender'

    def __init__(self, control: Control, ledger: LimitLedger) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        :param ledger: what this process may lend while it leads.
        """
        self._control = control
        self._ledger = ledger
        self._version = 0
        self._organisations_by_name: dict[str, Organisation] = {}

    def register(self, datagrams: Datagrams) -> None:
        """Answers the questions of the entries.

        :param datagrams: of this process.
        """
        datagrams.register(TakeLimit, self.take_limit)

    def became_leader(self) -> None:
        """Starts with an empty ledger."""
        self._ledger.restart(self._control.now())

    async def run_once(self) -> None:
        """Does nothing: the ledger fills by the clock."""

    def take_limit(self, asked: TakeLimit) -> LimitTaken:
        """Takes from the ledger what an entry lacks.

        :param asked: the question.
        """
        if not self._control.leadership.is_active():
            return LimitTaken(leads=False)
        self._index(self._control.machine.tables.deployment)
        organisation = self._organisations_by_name.get(asked.organisation)
        if organisation is None:
            # The entry serves a configuration that is newer or older than the leader's.
            return LimitTaken(leads=False)
        entries = self._control.publisher.usage_shares.entries
        now = self._control.now()
        return LimitTaken(
            wait_s=self._ledger.take(organisation, asked.cost, now, entries),
            starting=self._ledger.is_starting(now),
        )

    def _index(self, deployment: Deployment) -> None:
        if deployment.version != self._version:
            self._version = deployment.version
            self._organisations_by_name = {each.name: each for each in deployment.organisations}
