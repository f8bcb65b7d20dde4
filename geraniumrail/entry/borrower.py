"""Takes from the leader what this entry's part of a limit lacks."""

import random
from collections.abc import Callable

from geraniumrail.core.clock import Clock
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.link import LinkError
from geraniumrail.forwarding.limit_lender import WithoutLeader
from geraniumrail.links.datagrams import Datagrams
from geraniumrail.links.requests import LimitTaken, TakeLimit

TRY_S = 0.12  # far above the round trip between regions; a datagram is lost now and then
TRIES = 3
# An election is over, or another leader is known, after about a second of these.
NO_LEADER_PAUSE_S = 0.06
# Requests that wait for a ledger that fills ask again after about this time; some hundreds wait at
# once, and a question takes about 0.1 ms of the leader.
FILLING_PAUSE_S = 0.25


class Borrower:
    """Asks the member that the entry follows."""

    def __init__(
        self,
        datagrams: Datagrams,
        finder: LeaderFinder,
        clock: Clock,
        rng: random.Random,
        followed_at: Callable[[], float],
    ) -> None:
        """Connects the parts.

        :param datagrams: of this process.
        :param finder: address of the leader.
        :param clock: time.
        :param rng: source of jitter.
        :param followed_at: returns when the newest report was sent that the leader has answered.
        """
        self._followed_at = followed_at
        self._answered_at = clock.now()
        self._rng = rng
        self._datagrams = datagrams
        self._finder = finder
        self._clock = clock

    async def borrow(
        self, organisation: str, cost: float, limit_s: float, without_leader: WithoutLeader
    ) -> float:
        """Returns 0 if the cost was taken, or seconds until it may be tried again.

        An answer that was lost for good loses what was taken, which keeps the limit.

        :param organisation: name.
        :param cost: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :param without_leader: asked while no leader answers.
        :raises LinkError: if no leader answered in time.
        """
        end = self._clock.now() + limit_s
        question = TakeLimit(organisation=organisation, cost=cost)
        while True:
            try:
                answer = await self._datagrams.ask(self._finder.address, question, TRY_S, TRIES)
            except LinkError:
                answer = LimitTaken(leads=False)
            pause_s = NO_LEADER_PAUSE_S
            if answer.leads:
                self._answered_at = self._clock.now()
                # A new leader's ledger starts empty: those that waited for it would be refused
                # though their organisation is within its limit.
                pause_s = FILLING_PAUSE_S * self._rng.uniform(0.5, 1.5)
                filling = answer.wait_s > 0 and answer.starting
                if not filling or self._clock.now() + pause_s >= end:
                    return answer.wait_s
            elif without_leader(max(self._answered_at, self._followed_at())):
                return 0
            elif self._clock.now() >= end:
                raise LinkError(address=self._finder.address, reason='no leader lends')
            await self._clock.sleep(pause_s)
