"""Keeps the group whole without an operator; runs on the leader.

A replica that lost its disk, or one on a new machine, is a new replica. It joins as a learner and
becomes a voter as soon as a place is free: the place of a replica at its own address that can't
come back, or of a voter that has been silent.
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

# A voter silent for so long is replaced if a learner is ready; shorter than the time within which
# the next loss may follow a return, longer than a restart of a process.
SILENT_VOTER_S = 2.5
# A learner silent for so long is forgotten.
SILENT_LEARNER_S = 15.0
# A request to join counts this long.
JOIN_LIFE_S = 3.0


class GroupRepair:
    """Changes one member at a time."""

    def __init__(self, replica: Replica, voters: int, clock: Clock) -> None:
        """Connects the parts.

        :param replica: the local replica.
        :param voters: number of voters that the group should have.
        :param clock: time.
        """
        self._replica = replica
        self._voters = voters
        self._clock = clock
        self._joining: dict[str, tuple[Join, float]] = {}
        self._heard_at: dict[str, float] = {}

    def became_leader(self) -> None:
        """Forgets the silence that an earlier leadership saw."""
        self._joining = {}
        self._heard_at = {}

    async def join(self, request: Join) -> Accepted:
        """Takes a request to join; it is carried out by `run_once`.

        :param request: a replica that runs now.
        """
        self._joining[request.address] = (request, self._clock.now())
        return Accepted()

    async def run_once(self) -> None:
        """Makes the next change, if one is due."""
        status = self._replica.status()
        self._observe(status)
        if not await self._add_joining(status):
            await self._fill_places(status)

    def _observe(self, status: ReplicaStatus) -> None:
        now = self._clock.now()
        for member in status.members:
            age_s = status.silence_by_id.get(member.replica_id, 0)
            first = self._heard_at.setdefault(member.replica_id, now)
            self._heard_at[member.replica_id] = max(first, now - age_s)
        self._joining = {
            address: kept for address, kept in self._joining.items() if now - kept[1] <= JOIN_LIFE_S
        }

    async def _add_joining(self, status: ReplicaStatus) -> bool:
        known = {member.replica_id for member in status.members}
        for request, _ in tuple(self._joining.values()):
            # A replica can't come back at an address where another one runs now.
            stale = [
                member
                for member in status.members
                if member.address == request.address and member.replica_id != request.replica_id
            ]
            if stale:
                return await self._remove(stale[0], 'replaced at its address')
            if request.replica_id not in known:
                member = Member(replica_id=request.replica_id, address=request.address)
                return await self._change('add', member, 'asked to join')
        return False

    async def _fill_places(self, status: ReplicaStatus) -> bool:
        voters = [member for member in status.members if member.voter]
        learners = [member for member in status.members if not member.voter]
        ready = [each for each in learners if self._silence_s(each, status) < 1]
        silent = [each for each in voters if self._silence_s(each, status) >= SILENT_VOTER_S]
        if ready and len(voters) < self._voters:
            return await self._change('promote', ready[0], 'a place is free')
        if ready and silent:
            return await self._remove(silent[0], 'silent, and a learner is ready')
        gone = [each for each in learners if self._silence_s(each, status) >= SILENT_LEARNER_S]
        if gone:
            return await self._remove(gone[0], 'silent learner')
        return False

    def _silence_s(self, member: Member, status: ReplicaStatus) -> float:
        if member.replica_id == status.replica_id:
            return 0
        return self._clock.now() - self._heard_at[member.replica_id]

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
