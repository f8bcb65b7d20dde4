"""Asks the leader to add this replica to the group while it has no contact to a leader."""

from collections.abc import Sequence

from geraniumrail.consensus.replica import Replica
from geraniumrail.control import events
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import NotLeaderError
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.requests import Join

# A replica that had contact to a leader within this time need not ask to join.
LEADER_CONTACT_TIMEOUT_S = 1.0
JOIN_INTERVAL_S = 0.4
JOIN_TIMEOUT_S = 0.6


class Joiner:
    """Looks for the leader among the seeds and the known members, and follows redirects."""

    def __init__(
        self, replica: Replica, address: str, seeds: Sequence[str], links: LinkPool, clock: Clock
    ) -> None:
        """Connects the parts.

        :param replica: the local replica.
        :param address: ip:port of its link server.
        :param seeds: ip:port of members from the settings file.
        :param links: connections to other daemons.
        :param clock: time.
        """
        self._replica = replica
        self._address = address
        self._seeds = tuple(seeds)
        self._links = links
        self._clock = clock
        self._redirects: list[str] = []
        self._next_index = 0

    def learn_seeds(self, seeds: Sequence[str]) -> None:
        """Replaces the seeds.

        :param seeds: ip:port of members.
        """
        self._seeds = tuple(seeds)

    async def run(self) -> None:
        """Sends requests to join while needed, until cancelled."""
        while True:
            await self._clock.sleep(JOIN_INTERVAL_S)
            if self._needs_to_join():
                await self._request_join(self._next_address())

    def _needs_to_join(self) -> bool:
        status = self._replica.status()
        is_member = any(member.replica_id == status.replica_id for member in status.members)
        return not status.lease and (
            not is_member or status.quorum_contact_age_s > LEADER_CONTACT_TIMEOUT_S
        )

    def _next_address(self) -> str:
        if self._redirects:
            return self._redirects.pop()
        members = (member.address for member in self._replica.status().members)
        known = [each for each in dict.fromkeys((*self._seeds, *members)) if each != self._address]
        self._next_index += 1
        return known[self._next_index % len(known)] if known else ''

    async def _request_join(self, address: str) -> None:
        if not address:
            return
        request = Join(replica_id=self._replica.replica_id, address=self._address)
        try:
            await self._links.call(address, request, JOIN_TIMEOUT_S)
        except NotLeaderError as error:
            leader = error.fields.get('leader')
            if isinstance(leader, str) and leader not in {'', address, self._address}:
                self._redirects = [leader]
        except GeraniumrailError as error:
            log(events.JOIN_FAILED, address=address, reason=str(error))
