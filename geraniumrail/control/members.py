"""Membership changes that operators request."""

import asyncio

from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.replica import Replica
from geraniumrail.control.peer_transport import PeerTransport
from geraniumrail.errors.consensus import ConsensusError, MembershipError, NotCaughtUpError

CATCH_UP_LIMIT_S = 8.0  # shorter than one attempt of the command line
CATCH_UP_POLL_S = 0.2


class Members:
    """Looks up replicas by address and changes the membership of the control group."""

    def __init__(self, replica: Replica, transport: PeerTransport, seeds: tuple[str, ...]) -> None:
        """Connects the parts.

        :param replica: the local replica.
        :param transport: sends requests to other replicas.
        :param seeds: addresses of the settings file.
        """
        self._replica = replica
        self._transport = transport
        self._seeds = seeds

    async def create_group(self) -> None:
        """Creates the group with this replica as its only member.

        :raises MembershipError: if a replica at one of the seeds belongs to a group already.
        """
        status = self._replica.status()
        for address in self._seeds:
            try:
                reply = await self._transport.hello(address, status.group)
            except ConsensusError:
                continue  # not running yet; the operator can add it later
            if reply.group_id:
                raise MembershipError(
                    replica_id=reply.member.replica_id,
                    reason=f'it belongs to group {reply.group_id} already',
                )
        await self._replica.create_group()

    async def add(self, address: str) -> str:
        """Adds the replica at an address as a learner and returns its id.

        :param address: ip:port of its links.
        :raises MembershipError: if it belongs to another group.
        """
        # Fails if this process has no group: it would take that of the replica for a foreign one.
        await self._replica.read_barrier()
        status = self._replica.status()
        reply = await self._transport.hello(address, status.group)
        if reply.group_id not in {'', status.group_id}:
            raise MembershipError(
                replica_id=reply.member.replica_id,
                reason=f'it belongs to group {reply.group_id}',
            )
        member = Member(replica_id=reply.member.replica_id, address=address)
        await self._replica.add_learner(member)
        return member.replica_id

    async def promote(self, replica_id: str) -> None:
        """Promotes a learner to a voter as soon as it has caught up.

        :param replica_id: the learner.
        :raises MembershipError: if it has not caught up in time.
        """
        end = asyncio.get_running_loop().time() + CATCH_UP_LIMIT_S
        while True:
            try:
                return await self._replica.promote(replica_id)
            except NotCaughtUpError:
                if asyncio.get_running_loop().time() > end:
                    raise
            await asyncio.sleep(CATCH_UP_POLL_S)

    async def remove(self, replica_id: str) -> None:
        """Removes a member.

        :param replica_id: the member.
        """
        if replica_id == self._replica.replica_id:
            await self._replica.transfer_leadership()
        await self._replica.remove(replica_id)
