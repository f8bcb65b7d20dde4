"""Takes from the leader what this entry's part of a limit lacks."""

import math
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
# A scarce limit is decided at once without a leader; a single lost datagram is no lost leader.
SCARCE_TRIES = 2
# An election is over, or another leader is known, after about a second of these.
NO_LEADER_PAUSE_S = 0.06
# Requests that wait for a ledger that fills ask again after about this time; some hundreds wait at
# once, and a question takes about 0.1 ms of the leader.
FILLING_PAUSE_S = 0.25
# While no leader answers, it is asked so often for requests of limits that are known to be scarce;
# the others are decided at once.
PROBE_S = 0.25
# Retry-After of a request of a scarce limit that is rejected without a leader; by then another one
# is elected, or more has accrued.
ALONE_RETRY_S = 0.6


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
        self._is_silent = False  # the last question had no answer of a leader
        self._probed_at = -math.inf
        self._rng = rng
        self._datagrams = datagrams
        self._finder = finder
        self._clock = clock

    async def borrow(
        self, question: TakeLimit, limit_s: float, without_leader: WithoutLeader
    ) -> LimitTaken:
        """Returns the answer of the leader, or what was decided without it.

        An answer that was lost for good loses what was taken, which keeps the limit.

        :param question: what the entry lacks.
        :param limit_s: how long to wait for a leader, seconds.
        :param without_leader: asked while no leader answers.
        :raises LinkError: if no leader answered in time.
        """
        if question.known_mean > 0:
            return await self._borrow_scarce(question, without_leader)
        end = self._clock.now() + limit_s
        while True:
            answer = await self._ask(question, TRIES)
            pause_s = NO_LEADER_PAUSE_S
            if answer.leads:
                # A new leader's ledger starts empty: those that waited for it would be refused
                # though their organisation is within its limit.
                pause_s = FILLING_PAUSE_S * self._rng.uniform(0.5, 1.5)
                filling = answer.wait_s > 0 and answer.starting
                if not filling or self._clock.now() + pause_s >= end:
                    return answer
            elif without_leader(max(self._answered_at, self._followed_at())):
                return answer
            elif self._clock.now() >= end:
                raise LinkError(address=self._finder.address, reason='no leader lends')
            await self._clock.sleep(pause_s)

    async def _borrow_scarce(
        self, question: TakeLimit, without_leader: WithoutLeader
    ) -> LimitTaken:
        """Decides at once if no leader answers: waiting does not make the limit less scarce."""
        answer = LimitTaken(leads=False)
        if self._may_ask():
            answer = await self._ask(question, SCARCE_TRIES)
        if answer.leads or without_leader(max(self._answered_at, self._followed_at())):
            return answer
        return LimitTaken(leads=False, wait_s=ALONE_RETRY_S, retry_after_s=ALONE_RETRY_S)

    def _may_ask(self) -> bool:
        """Returns whether the leader answers, or is to be asked whether it does again."""
        now = self._clock.now()
        if self._is_silent and now < self._probed_at + PROBE_S:
            return False
        self._probed_at = now
        return True

    async def _ask(self, question: TakeLimit, tries: int) -> LimitTaken:
        began_at = self._clock.now()
        try:
            answer = await self._datagrams.ask(self._finder.address, question, TRY_S, tries)
        except LinkError:
            answer = LimitTaken(leads=False)
        # One question of many may be lost while the leader answers the others.
        self._is_silent = not answer.leads and self._answered_at <= began_at
        if answer.leads:
            self._answered_at = self._clock.now()
        return answer
