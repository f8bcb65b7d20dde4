"""Sends the replicas' requests over the links between daemons."""

from typing import Any

from geraniumrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    HelloReply,
    HelloRequest,
    InstallReply,
    InstallRequest,
    VoteReply,
    VoteRequest,
)
from geraniumrail.consensus.replica import Replica
from geraniumrail.errors.consensus import PeerUnreachableError
from geraniumrail.errors.link import LinkError
from geraniumrail.links.pool import LinkPool
from geraniumrail.links.server import LinkServer

CALL_TIMEOUT_S = 1.0
INSTALL_TIMEOUT_S = 5.0


class PeerTransport:
    """Implements `consensus.interfaces.Transport`."""

    def __init__(self, links: LinkPool) -> None:
        """Wraps the connections.

        :param links: connections to other daemons.
        """
        self._links = links

    async def vote(self, address: str, request: VoteRequest) -> VoteReply:
        """Sends a vote request.

        :param address: ip:port of the target.
        :param request: what to send.
        """
        return await self._call(address, request, CALL_TIMEOUT_S)

    async def append(self, address: str, request: AppendRequest) -> AppendReply:
        """Sends log entries or a heartbeat.

        :param address: ip:port of the target.
        :param request: what to send.
        """
        return await self._call(address, request, CALL_TIMEOUT_S)

    async def install(self, address: str, request: InstallRequest) -> InstallReply:
        """Sends a part of a snapshot.

        :param address: ip:port of the target.
        :param request: what to send.
        """
        return await self._call(address, request, INSTALL_TIMEOUT_S)

    async def hello(self, address: str, group: str) -> HelloReply:
        """Asks which replica is at an address.

        :param address: ip:port of the target.
        :param group: name of the group.
        :raises PeerUnreachableError: if there is no answer.
        """
        return await self._call(address, HelloRequest(group=group), CALL_TIMEOUT_S)

    async def _call(self, address: str, request: object, timeout_s: float) -> Any:
        try:
            return await self._links.call(address, request, timeout_s)
        except LinkError as error:
            raise PeerUnreachableError(address=address, reason=str(error)) from error


def register_replica(server: LinkServer, replica: Replica) -> None:
    """Registers a replica as the handler of requests from other replicas.

    :param server: the link server of this process.
    :param replica: the replica.
    """
    server.register(VoteRequest, replica.answer)
    server.register(AppendRequest, replica.answer)
    server.register(InstallRequest, replica.answer)
    server.register(HelloRequest, replica.answer)
