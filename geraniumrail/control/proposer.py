"""Proposes typed commands on the local replica."""

from typing import Any

from geraniumrail.consensus.replica import Replica
from geraniumrail.core import codec
from geraniumrail.core.refused import Refused


class Proposer:
    """Encodes commands, and raises a refusal as the typed error."""

    def __init__(self, replica: Replica) -> None:
        """Wraps a replica.

        :param replica: the replica of the group.
        """
        self._replica = replica

    async def propose(self, command: object) -> Any:
        """Commits a command to the log and returns its result.

        :param command: a record of `state.commands`.
        :raises ConsensusError: if it was not committed here or its outcome is unknown.
        :raises GeraniumrailError: if the state machine refused it.
        """
        outcome = await self._replica.propose(codec.encode(command))
        answer = codec.decode(outcome.payload)
        if isinstance(answer, Refused):
            raise answer.to_error()
        return answer
