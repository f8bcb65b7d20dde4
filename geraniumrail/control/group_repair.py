"""Replaces lost members of the group without an operator; runs on the leader.

A replica that lost its disk, or runs on a new machine, has a new id. It joins as a learner and is
promoted as soon as it can replace a voter: one at the same address, which can't come back, or one
that has not answered for some time.
"""

from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.replica import Replica
from geraniumrail.consensus.status import ReplicaStatus
from geraniumrail.control import events
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import ConsensusError
from geraniumrail.links.messages import Accepted
from geraniumrail.links.requests import Join

# A voter that has not answered for this time is replaced if a learner is ready. Longer than a
# restart of a process; shorter than the least time between the return of a process and the next
# loss.
VOTER_TIMEOUT_S = 2.5
# A learner that has not answered for this time is removed.
LEARNER_TIMEOUT_S = 15.0
# A request to join is valid for this time.
JOIN_REQUEST_VALID_S = 3.0
# A learner that has answered within this time is promoted if a voter is missing.
READY_LEARNER_SILENCE_S = 1


class GroupRepair:
    """Makes one membership change at a time."""

    def __init__(self, replica: Replica, voter_count: int, clock: Clock) -> None:
        """Connects the parts.

        :param replica: the local replica.
        :param voter_count: target number of voters of the group.
        :param clock: time.
        """
        self._replica = replica
        self._voter_count = voter_count
        self._clock = clock
        self._requests_by_address: dict[str, tuple[Join, float]] = {}
        self._last_answer_by_id: dict[str, float] = {}

    def became_leader(self) -> None:
        """Drops the requests and answer times of an earlier leadership."""
        self._requests_by_address = {}
        self._last_answer_by_id = {}

    async def join(self, request: Join) -> Accepted:
        """Records a request to join; `run_once` carries it out.

        :param request: id and address of the replica that sent it.
        """
        self._requests_by_address[request.address] = (request, self._clock.now())
        return Accepted()

    async def run_once(self) -> None:
        """Makes the next change, if one is due."""
        status = self._replica.status()
        self._update_answer_times(status)
        if not await self._add_replicas(status):
            await self._replace_members(status)

    def _update_answer_times(self, status: ReplicaStatus) -> None:
        now = self._clock.now()
        for member in status.members:
            age_s = status.silence_by_id.get(member.replica_id, 0)
            previous = self._last_answer_by_id.setdefault(member.replica_id, now)
            self._last_answer_by_id[member.replica_id] = max(previous, now - age_s)
        self._requests_by_address = {
            address: request
            for address, request in self._requests_by_address.items()
            if now - request[1] <= JOIN_REQUEST_VALID_S
        }

    async def _add_replicas(self, status: ReplicaStatus) -> bool:
        known = {member.replica_id for member in status.members}
        for request, _ in tuple(self._requests_by_address.values()):
            # A replica can't come back at an address at which another one runs now.
            stale = [
                member
                for member in status.members
                if member.address == request.address and member.replica_id != request.replica_id
            ]
            if stale:
                return await self._remove(stale[0], 'another replica runs at its address')
            if request.replica_id not in known:
                member = Member(replica_id=request.replica_id, address=request.address)
                return await self._change('add', member, 'asked to join')
        return False

    async def _replace_members(self, status: ReplicaStatus) -> bool:
        voters = [member for member in status.members if member.voter]
        learners = [member for member in status.members if not member.voter]
        ready = [
            each for each in learners if self._silence_s(each, status) < READY_LEARNER_SILENCE_S
        ]
        silent = [each for each in voters if self._silence_s(each, status) >= VOTER_TIMEOUT_S]
        if ready and len(voters) < self._voter_count:
            return await self._change('promote', ready[0], 'a voter is missing')
        if ready and silent:
            return await self._remove(silent[0], 'voter does not answer, and a learner is ready')
        gone = [each for each in learners if self._silence_s(each, status) >= LEARNER_TIMEOUT_S]
        if gone:
            return await self._remove(gone[0], 'learner does not answer')
        return False

    def _silence_s(self, member: Member, status: ReplicaStatus) -> float:
        if member.replica_id == status.replica_id:
            return 0
        return self._clock.now() - self._last_answer_by_id[member.replica_id]

    async def _remove(self, member: Member, reason: str) -> bool:
        return await self._change('remove', member, reason)

    async def _change(self, action: str, member: Member, reason: str) -> bool:
        try:
            if action == 'add':
                await self._replica.add_learner(member)
            elif action == 'promote':
                await self._replica.promote(member.replica_id)
            else:
                await self._replica.remove(member.replica_id)
        except ConsensusError as error:
            log(events.REPAIR_REFUSED, action=action, member=member.replica_id, reason=str(error))
            return False
        log(
            events.MEMBER_REPAIRED,
            action=action,
            member=member.replica_id,
            address=member.address,
            reason=reason,
        )
        return True
