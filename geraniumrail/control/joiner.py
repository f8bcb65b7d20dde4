"""Asks the leader to take this replica into the group while it hears of no leader."""

from collections.abc import Sequence

from geraniumrail.consensus.replica import Replica
from geraniumrail.control import events
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.requests import Join

# A replica that has heard a leader so recently belongs to the group.
SILENCE_S = 1.0
JOIN_INTERVAL_S = 0.4
JOIN_TIMEOUT_S = 0.6


class Joiner:
    """Finds the leader from the seeds, the known members and their hints."""

    def __init__(
        self, replica: Replica, address: str, seeds: Sequence[str], links: LinkPool, clock: Clock
    ) -> None:
        """Connects the parts.

        :param replica: the local replica.
        :param address: ip:port at which it is reached.
        :param seeds: ip:port of members from the settings file.
        :param links: connections to other daemons.
        :param clock: time.
        """
        self._replica = replica
        self._address = address
        self._seeds = tuple(seeds)
        self._links = links
        self._clock = clock
        self._hints: list[str] = []
        self._turn = 0

    def learn_seeds(self, seeds: Sequence[str]) -> None:
        """Takes over other seeds.

        :param seeds: ip:port of members.
        """
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            await self._clock.sleep(JOIN_INTERVAL_S)
            if self._is_alone():
                await self._ask(self._next_address())

    def _is_alone(self) -> bool:
        status = self._replica.status()
        listed = any(member.replica_id == status.replica_id for member in status.members)
        return not status.lease and (not listed or status.quorum_contact_age_s > SILENCE_S)

    def _next_address(self) -> str:
        if self._hints:
            return self._hints.pop()
        members = (member.address for member in self._replica.status().members)
        known = [each for each in dict.fromkeys((*self._seeds, *members)) if each != self._address]
        self._turn += 1
        return known[self._turn % len(known)] if known else ''

    async def _ask(self, address: str) -> None:
        if not address:
            return
        request = Join(replica_id=self._replica.replica_id, address=self._address)
        try:
            await self._links.call(address, request, JOIN_TIMEOUT_S)
        except NotLeaderError as error:
            leader = error.fields.get('leader')
            if isinstance(leader, str) and leader not in {'', address, self._address}:
                self._hints = [leader]
        except GeraniumrailError as error:
            log(events.JOIN_FAILED, address=address, reason=str(error))
