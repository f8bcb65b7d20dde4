"""State shared by the parts of a replica."""

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

# First campaigns are spread over this share of the election timeout; each takes a few round trips.
FIRST_CAMPAIGN_JITTER = 0.4
# The same for early campaigns, which come before and need the answers of all voters.
EARLY_CAMPAIGN_JITTER = 0.15


@dataclasses.dataclass
class ElectionState:
    """Role of a replica in the current term and the times that decide when it campaigns."""

    leader_contact_at: float  # last time at which a leader was known to be live
    deadline: float  # when to campaign if there is no contact with a leader before
    role: Role = 'follower'
    leader_id: str = ''
    leader_address: str = ''
    transfer_term: int = 0  # term whose leader has asked this replica to campaign
    had_leader_contact: bool = False  # since the start of this process
    early_campaign_at: float = float('inf')  # when to try an early campaign


@dataclasses.dataclass(frozen=True)
class Context:
    """State and dependencies shared by the parts of one replica."""

    config: ReplicaConfig
    replica_id: str
    journal: Journal
    applier: Applier
    transport: Transport
    clock: Clock
    rng: random.Random
    election: ElectionState
    election_changed: asyncio.Event  # wakes the task that campaigns and leads

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
        :param leader_id: its leader, if the sender is the leader.
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

        :param min_timeouts: lower bound, in election timeouts.
        """
        timeout = self.config.election_timeout_s
        self.election.deadline = self.clock.now() + timeout * self.rng.uniform(min_timeouts, 2.0)

    def set_first_deadline(self) -> None:
        """Draws the time of the first campaign: soon after the lease of a leader must have ended.

        The time is random because all replicas may have restarted at the same moment.
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
        """Returns whether an early campaign is due."""
        election = self.election
        return not election.had_leader_contact and self.clock.now() >= election.early_campaign_at

    def has_leader_contact(self) -> bool:
        """Returns whether a leader was known to be live so recently that it may hold a lease."""
        silence = self.clock.now() - self.election.leader_contact_at
        return silence < self.config.election_timeout_s

    def is_transfer_target(self) -> bool:
        """Returns whether the leader of the current term has asked this replica to take over.

        A request of an earlier term does not count: votes for a leadership transfer ignore leases,
        and another leader may hold a lease in a later term.
        """
        return self.term > 0 and self.election.transfer_term == self.term

    async def wait_for_change(self) -> None:
        """Waits for `election_changed`, for at most a tick."""
        try:
            await within(self.clock, self.config.tick_s, self.election_changed.wait())
        except TimeoutError:
            return
        self.election_changed.clear()
