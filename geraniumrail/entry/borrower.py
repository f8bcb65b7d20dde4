"""Takes from the leader what this entry's part of a limit lacks."""

from geraniumrail.core.clock import Clock
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.link import LinkError
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.requests import LimitTaken, TakeLimit

TRY_S = 0.12  # far above the round trip between regions; a datagram is lost now and then
TRIES = 3
# An election is over, or another leader is known, after about a second of these.
NO_LEADER_PAUSE_S = 0.06


class Borrower:
    """Asks the member that the entry follows."""

    def __init__(self, datagrams: Datagrams, finder: LeaderFinder, clock: Clock) -> None:
        """Connects the parts.

        :param datagrams: of this process.
        :param finder: address of the leader.
        :param clock: time.
        """
        self._datagrams = datagrams
        self._finder = finder
        self._clock = clock

    async def borrow(self, organisation: str, cost: float, limit_s: float) -> float:
        """Returns 0 if the cost was taken, or seconds until it may be tried again.

        An answer that was lost for good loses what was taken, which keeps the limit.

        :param organisation: name.
        :param cost: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :raises LinkError: if no leader answered in time.
        """
        end = self._clock.now() + limit_s
        question = TakeLimit(organisation=organisation, cost=cost)
        while True:
            try:
                answer = await self._datagrams.ask(self._finder.address, question, TRY_S, TRIES)
            except LinkError:
                answer = LimitTaken(leads=False)
            if answer.leads:
                return answer.wait_s
            if self._clock.now() >= end:
                raise LinkError(address=self._finder.address, reason='no leader lends')
            await self._clock.sleep(NO_LEADER_PAUSE_S)
