"""Members of a group."""

from geraniumrail.core.codec import record


@record
class Member:
    """One replica of a group; a learner receives the log but does not count for majorities."""

    replica_id: str  # name and random part, generated with the data folder
    address: str  # ip:port
    voter: bool = False


@record
class Membership:
    """The members of a group; without a group id the replica belongs to no group."""

    group_id: str = ''  # generated when the group is created
    members: tuple[Member, ...] = ()

    def voter_ids(self) -> tuple[str, ...]:
        """Returns the replica ids of the voters."""
        return tuple(member.replica_id for member in self.members if member.voter)

    def find(self, replica_id: str) -> Member | None:
        """Returns a member, or None.

        :param replica_id: id of the member.
        """
        matching = (member for member in self.members if member.replica_id == replica_id)
        return next(matching, None)

    def is_majority(self, replica_ids: frozenset[str]) -> bool:
        """Returns whether the replicas include a majority of the voters.

        :param replica_ids: replicas that agree.
        """
        voters = self.voter_ids()
        return 2 * sum(voter in replica_ids for voter in voters) > len(voters)

    def majority_value(self, values_by_id: dict[str, float]) -> float:
        """Returns the largest value that a majority of the voters has reached.

        :param values_by_id: value of each voter.
        """
        values = sorted((values_by_id[voter] for voter in self.voter_ids()), reverse=True)
        return values[len(values) // 2]

    def with_member(self, changed: Member) -> 'Membership':
        """Returns the membership with one member added or replaced.

        :param changed: the new or changed member.
        """
        others = self.without(changed.replica_id).members
        return Membership(group_id=self.group_id, members=(*others, changed))

    def without(self, replica_id: str) -> 'Membership':
        """Returns the membership without one member.

        :param replica_id: the member to leave out.
        """
        kept = tuple(member for member in self.members if member.replica_id != replica_id)
        return Membership(group_id=self.group_id, members=kept)
