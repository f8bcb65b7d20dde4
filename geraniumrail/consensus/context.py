"""What the parts of a replica share."""

import asyncio
import dataclasses
import random

from geraniumrail.consensus.applier import Applier
from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.entry import HardState
from geraniumrail.consensus.interfaces import Transport
from geraniumrail.consensus.journal import Journal
from geraniumrail.consensus.membership import Membership
from geraniumrail.consensus.status import Role
from geraniumrail.consensus.timeout import within
from geraniumrail.core.clock import Clock

# Of the election timeout; a campaign takes a few round trips.
FIRST_SPREAD = 0.4
# The same for campaigns before the first deadline, which need the answers of all voters.
EARLY_SPREAD = 0.15


@dataclasses.dataclass
class Standing:
    """Role of a replica in the current term."""

    leader_contact_at: float  # when a live leader was last heard
    deadline: float  # when to campaign unless a leader is heard
    role: Role = 'follower'
    leader_id: str = ''
    leader_address: str = ''
    handed_over_term: int = 0  # the leader of this term has asked this replica to campaign
    has_heard: bool = False  # whether a leader was heard since the start of this process
    early_at: float = float('inf')  # when to try an early campaign


@dataclasses.dataclass(frozen=True)
class Context:
    """Shared by the parts of one replica."""

    config: ReplicaConfig
    replica_id: str
    journal: Journal
    applier: Applier
    transport: Transport
    clock: Clock
    rng: random.Random
    standing: Standing
    changed: asyncio.Event  # wakes the main task after a change of role

    @property
    def term(self) -> int:
        """The current term."""
        return self.journal.hard.term

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self.journal.memberships.newest

    def follow(self, term: int, leader_id: str = '', leader_address: str = '') -> None:
        """Becomes or stays a follower in a term that is at least the current one.

        :param term: term that was seen.
        :param leader_id: its leader, if that is who sent it.
        :param leader_address: ip:port of the leader.
        """
        standing = self.standing
        if term > self.term:
            self.journal.remember(HardState(term=term))
            standing.leader_id = ''
            standing.leader_address = ''
        if standing.role not in {'follower', 'failed'}:
            standing.role = 'follower'
            standing.leader_id = ''
            standing.leader_address = ''
            self.changed.set()
        if leader_id:
            standing.leader_id = leader_id
            standing.leader_address = leader_address
            standing.leader_contact_at = self.clock.now()
            standing.has_heard = True
            self.set_deadline()

    def set_deadline(self, shortest: float = 1.0) -> None:
        """Draws the time of the next campaign.

        :param shortest: lower bound in units of the election timeout.
        """
        timeout = self.config.election_timeout_s
        self.standing.deadline = self.clock.now() + timeout * self.rng.uniform(shortest, 2.0)

    def set_first_deadline(self) -> None:
        """Draws the time of the first campaign: soon after a leader's lease must have ended.

        All replicas may have restarted at the same moment, so the draws are spread.
        """
        timeout = self.config.election_timeout_s
        earliest = max(self.clock.now(), self.standing.leader_contact_at + timeout)
        self.standing.deadline = earliest + timeout * self.rng.uniform(0, FIRST_SPREAD)
        self.set_early()

    def set_early(self) -> None:
        """Draws the time of the next early campaign."""
        timeout = self.config.election_timeout_s
        self.standing.early_at = self.clock.now() + timeout * self.rng.uniform(0, EARLY_SPREAD)

    def may_campaign_early(self) -> bool:
        """Tells whether to ask all voters if they have restarted as well."""
        standing = self.standing
        return not standing.has_heard and self.clock.now() >= standing.early_at

    def hears_leader(self) -> bool:
        """Tells whether a live leader was heard so recently that it may hold its lease."""
        silence = self.clock.now() - self.standing.leader_contact_at
        return silence < self.config.election_timeout_s

    def may_take_over(self) -> bool:
        """Tells whether the leader of the current term has handed over to this replica.

        In a later term another leader may hold a lease, which votes for a handover ignore.
        """
        return self.term > 0 and self.standing.handed_over_term == self.term

    async def pause(self) -> None:
        """Waits for a change of role, for at most a tick."""
        try:
            await within(self.clock, self.config.tick_s, self.changed.wait())
        except TimeoutError:
            return
        self.changed.clear()
