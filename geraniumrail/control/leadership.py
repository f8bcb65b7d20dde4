"""Whether this process may act as the leader of the control group."""

from geraniumrail.consensus.replica import Replica
from geraniumrail.core.clock import Clock
from geraniumrail.errors.consensus import NotLeaderError

POLL_INTERVAL_S = 0.03  # an election takes a few round trips of 1 ms and a disk sync


class Leadership:
    """An elected leader is active once its local state holds all earlier committed writes."""

    def __init__(self, replica: Replica) -> None:
        """Wraps a replica.

        :param replica: the replica of the group.
        """
        self._replica = replica
        self._active_term = -1

    def is_elected(self) -> bool:
        """Returns whether the replica leads with a valid lease."""
        return self._replica.is_leader_with_lease()

    def is_active(self) -> bool:
        """Returns whether this process may act as the leader now."""
        return self.is_elected() and self._replica.status().term == self._active_term

    def is_leader_known(self) -> bool:
        """Returns whether this process may act as the leader, or knows another one that leads."""
        return self.is_active() or (bool(self._replica.status().leader) and not self.is_elected())

    async def await_election(self, clock: Clock, limit_s: float) -> None:
        """Waits for the end of an election.

        :param clock: time.
        :param limit_s: timeout in seconds; reaching it is no error.
        """
        end = clock.now() + limit_s
        while not self.is_leader_known() and clock.now() < end:
            await clock.sleep(POLL_INTERVAL_S)

    async def activate(self) -> None:
        """Waits until the local state holds all writes that earlier leaders acknowledged.

        :raises ConsensusError: if leadership was lost in the meantime.
        """
        term = self._replica.status().term
        await self._replica.read_barrier()
        self._active_term = term

    def require_term(self) -> int:
        """Returns the term of this leadership.

        :raises NotLeaderError: if this process may not act as the leader.
        """
        if not self.is_active():
            raise NotLeaderError(leader=self._replica.status().leader or None)
        return self._active_term
