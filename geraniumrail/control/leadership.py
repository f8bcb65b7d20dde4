"""Whether this process may act as the leader of the control group."""

from geraniumrail.consensus.replica import Replica
from geraniumrail.errors.consensus import NotLeaderError


class Leadership:
    """Tells whether this process may act as the leader now."""

    def __init__(self, replica: Replica) -> None:
        """Wraps a replica.

        :param replica: the replica of the group.
        """
        self._replica = replica

    def holds(self) -> bool:
        """Tells whether the leader lease is valid."""
        return self._replica.is_leader_with_lease()

    def require(self) -> int:
        """Returns the term.

        :raises NotLeaderError: without a valid leader lease.
        """
        if not self.holds():
            raise NotLeaderError(leader=self._replica.status().leader or None)
        return self._replica.status().term
