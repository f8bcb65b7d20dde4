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
FIRST_CAMPAIGN_JITTER = 0.4
# The same for campaigns before the first deadline, which need the answers of all voters.
EARLY_CAMPAIGN_JITTER = 0.15


@dataclasses.dataclass
class ElectionState:
    """Role of a replica in the current term."""

    leader_contact_at: float  # when a live leader was last heard
    deadline: float  # when to campaign unless a leader is heard
    role: Role = 'follower'
    leader_id: str = ''
    leader_address: str = ''
    transfer_term: int = 0  # the leader of this term has asked this replica to campaign
    had_leader_contact: bool = False  # whether a leader was heard since the start of this process
    early_campaign_at: float = float('inf')  # when to try an early campaign


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
    election: ElectionState
    election_changed: asyncio.Event  # wakes the main task after a change of role

    @property
    def term(self) -> int:
        """The current term."""
        return self.journal.hard.term

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self.journal.memberships.newest

    def become_follower(self, term: int, leader_id: str = '', leader_address: str = '') -> None:
        """Becomes or stays a follower in a term that is at least the current one.

        :param term: term that was seen.
        :param leader_id: its leader, if that is who sent it.
        :param leader_address: ip:port of the leader.
        """
        election = self.election
        if term > self.term:
            self.journal.set_hard_state(HardState(term=term))
            election.leader_id = ''
            election.leader_address = ''
        if election.role not in {'follower', 'failed'}:
            election.role = 'follower'
            election.leader_id = ''
            election.leader_address = ''
            self.election_changed.set()
        if leader_id:
            election.leader_id = leader_id
            election.leader_address = leader_address
            election.leader_contact_at = self.clock.now()
            election.had_leader_contact = True
            self.set_deadline()

    def set_deadline(self, min_timeouts: float = 1.0) -> None:
        """Draws the time of the next campaign.

        :param shortest: lower bound in units of the election timeout.
        """
        timeout = self.config.election_timeout_s
        self.election.deadline = self.clock.now() + timeout * self.rng.uniform(min_timeouts, 2.0)

    def set_first_deadline(self) -> None:
        """Draws the time of the first campaign: soon after a leader's lease must have ended.

        All replicas may have restarted at the same moment, so the draws are spread.
        """
        timeout = self.config.election_timeout_s
        earliest = max(self.clock.now(), self.election.leader_contact_at + timeout)
        self.election.deadline = earliest + timeout * self.rng.uniform(0, FIRST_CAMPAIGN_JITTER)
        self.set_early_campaign()

    def set_early_campaign(self) -> None:
        """Draws the time of the next early campaign."""
        timeout = self.config.election_timeout_s
        self.election.early_campaign_at = self.clock.now() + timeout * self.rng.uniform(
            0, EARLY_CAMPAIGN_JITTER
        )

    def may_campaign_early(self) -> bool:
        """Tells whether to ask all voters if they have restarted as well."""
        election = self.election
        return not election.had_leader_contact and self.clock.now() >= election.early_campaign_at

    def has_leader_contact(self) -> bool:
        """Tells whether a live leader was heard so recently that it may hold its lease."""
        silence = self.clock.now() - self.election.leader_contact_at
        return silence < self.config.election_timeout_s

    def is_transfer_target(self) -> bool:
        """Tells whether the leader of the current term has handed over to this replica.

        In a later term another leader may hold a lease, which votes for a handover ignore.
        """
        return self.term > 0 and self.election.transfer_term == self.term

    async def wait_for_change(self) -> None:
        """Waits for a change of role, for at most a tick."""
        try:
            await within(self.clock, self.config.tick_s, self.election_changed.wait())
        except TimeoutError:
            return
        self.election_changed.clear()
