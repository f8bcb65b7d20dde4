"""One member of a group that replicates a log."""

import asyncio
import random
import secrets

from geraniumrail.consensus import events, membership_changes
from geraniumrail.consensus.applier import Applier
from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.context import Context, ElectionState
from geraniumrail.consensus.entry import Entry, HardState
from geraniumrail.consensus.interfaces import LogStorage, StateMachine, Transport
from geraniumrail.consensus.journal import Journal
from geraniumrail.consensus.leadership_transfer import transfer_leadership
from geraniumrail.consensus.load_step import logged_step
from geraniumrail.consensus.membership import Member, Membership
from geraniumrail.consensus.messages import Reply, Request
from geraniumrail.consensus.request_handler import RequestHandler
from geraniumrail.consensus.runner import Runner
from geraniumrail.consensus.status import ReplicaStatus, Result
from geraniumrail.core import codec
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import MembershipError

_GROUP_ID_BYTES = 8


class Replica:
    """A member of a group: stores the log, votes, replicates and applies commands."""

    def __init__(self, context: Context, storage: LogStorage) -> None:
        """Creates the replica; use `from_config`.

        :param context: shared by the parts of the replica.
        :param storage: closed by `stop`.
        """
        self._context = context
        self._storage = storage
        self._request_handler = RequestHandler(context)
        self._runner = Runner(context)

    @classmethod
    def from_config(
        cls,
        config: ReplicaConfig,
        storage: LogStorage,
        transport: Transport,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        leader_contact_at: float | None = None,
    ) -> 'Replica':
        """Creates a replica from its storage.

        :param config: settings.
        :param storage: where the log is stored.
        :param transport: sends requests to other replicas.
        :param machine: state machine for the commands; its state is replaced.
        :param clock: measures leases and timeouts.
        :param rng: source of election jitter.
        :param leader_contact_at: latest possible contact with a leader before this start, by
            the same clock; by default the present time. With an earlier time, the first
            election after a slow start needs no further wait.
        :raises LogDamagedError: if the storage is damaged.
        """
        stored = storage.load()
        journal = Journal(storage, stored)
        with logged_step('restore', len(stored.snapshot.payload)):
            applier = Applier(journal, machine, config)
        # The replica may have confirmed the lease of a leader just before it restarted.
        election = ElectionState(
            leader_contact_at=clock.now() if leader_contact_at is None else leader_contact_at,
            deadline=0,
        )
        context = Context(
            config=config,
            replica_id=stored.replica_id,
            journal=journal,
            applier=applier,
            transport=transport,
            clock=clock,
            rng=rng,
            election=election,
            election_changed=asyncio.Event(),
        )
        if leader_contact_at is None:
            context.set_deadline()
        else:
            context.set_first_deadline()
        log(
            events.LOADED,
            replica=stored.replica_id,
            term=stored.hard.term,
            snapshot=stored.snapshot.index,
            last=journal.last_index,
        )
        return cls(context, storage)

    @property
    def replica_id(self) -> str:
        """Id of this replica: name and random part, generated with the storage."""
        return self._context.replica_id

    async def start(self) -> None:
        """Starts the tasks of the replica."""
        self._runner.start()

    async def stop(self) -> None:
        """Stops the tasks and closes the storage; transfer leadership before."""
        await self._runner.stop()
        await self._storage.close()

    async def propose(self, command: bytes) -> Result:
        """Commits and applies a command.

        :param command: for the state machine.
        :raises NotLeaderError: if another replica leads; nothing was appended.
        :raises NoQuorumError: if a majority can't be reached; nothing was appended.
        :raises CommandTooLargeError: if the command exceeds the limit; nothing was appended.
        :raises ProposalQueueFullError: if too many proposals wait; nothing was appended.
        :raises UncommittedLogFullError: if the proposals that wait are too large; nothing was
            appended.
        :raises ProposalLostError: if the outcome is unknown.
        """
        return await self._runner.require_leadership().propose(command)

    async def read_barrier(self) -> int:
        """Waits until reads of the local state machine are linearizable.

        :return: position up to which the state includes the log.
        :raises NotLeaderError: if another replica leads.
        :raises NoQuorumError: if a majority can't be reached.
        """
        return await self._runner.require_leadership().read_index()

    async def transfer_leadership(self, target: str | None = None) -> None:
        """Transfers leadership to a voter that has the whole log, for example before a stop.

        :param target: replica id; by default the voter with the longest log.
        :raises TransferFailedError: if no voter has taken over in time.
        """
        await transfer_leadership(self._context, self._runner.require_leadership(), target)

    async def create_group(self) -> None:
        """Creates a group whose only member is this replica.

        :raises MembershipError: if this replica has ever belonged to a group.
        """
        context = self._context
        if context.term or context.journal.last_index:
            raise MembershipError(replica_id=self.replica_id, reason='the data folder is not empty')
        member = Member(replica_id=self.replica_id, address=context.config.address, voter=True)
        group_id = secrets.token_hex(_GROUP_ID_BYTES)
        payload = codec.encode(Membership(group_id=group_id, members=(member,)))
        context.journal.set_hard_state(HardState(term=1))
        context.journal.append((Entry(index=1, term=1, kind='membership', payload=payload),))
        await context.journal.sync()
        context.election.leader_contact_at = float('-inf')
        context.election.deadline = context.clock.now()
        context.election_changed.set()

    async def add_learner(self, member: Member) -> None:
        """Adds a member that receives the log, or changes the address of a member.

        :param member: its replica id and address.
        :raises MembershipError: if the change is refused.
        """
        leadership = self._runner.require_leadership()
        await leadership.change_membership(
            member.replica_id,
            lambda: membership_changes.with_learner(self._context, member),
        )

    async def promote(self, replica_id: str) -> None:
        """Makes a learner a voter.

        :param replica_id: the learner.
        :raises MembershipError: if it has not caught up or is not a member.
        """
        leadership = self._runner.require_leadership()
        await leadership.change_membership(
            replica_id,
            lambda: membership_changes.with_voter(self._context, leadership, replica_id),
        )

    async def remove(self, replica_id: str) -> None:
        """Removes another member.

        :param replica_id: the member.
        :raises MembershipError: if it is the leader, or too few of the other voters are live.
        """
        leadership = self._runner.require_leadership()
        await leadership.change_membership(
            replica_id,
            lambda: membership_changes.without(self._context, leadership, replica_id),
        )

    def status(self) -> ReplicaStatus:
        """Returns the present status."""
        context = self._context
        election = context.election
        journal = context.journal
        leadership = self._runner.leadership
        peers_by_id = {} if leadership is None else leadership.peers.by_id
        age_s = context.clock.now() - election.leader_contact_at
        return ReplicaStatus(
            replica_id=self.replica_id,
            group=context.config.group,
            group_id=context.membership.group_id,
            role=election.role,
            term=context.term,
            leader=election.leader_address if context.has_leader_contact() or leadership else '',
            commit=context.applier.commit_index,
            applied=context.applier.applied_index,
            last_index=journal.last_index,
            snapshot_index=journal.snapshot.index,
            log_bytes=journal.size,
            members=context.membership.members,
            lease=self.is_leader_with_lease(),
            quorum_contact_age_s=age_s if leadership is None else leadership.quorum_contact_age_s(),
            silence_by_id={
                name: context.clock.now() - peer.contact_at for name, peer in peers_by_id.items()
            },
            lag_by_id={
                name: journal.last_index - peer.match_index for name, peer in peers_by_id.items()
            },
        )

    def is_leader_with_lease(self) -> bool:
        """Returns whether this replica may act as the leader now."""
        leadership = self._runner.leadership
        return leadership is not None and leadership.has_lease()

    async def answer(self, request: Request) -> Reply:
        """Answers a request from another process; a replica without a group answers too.

        :param request: hello, vote, append or install request.
        :raises ReplicaFailedError: if this replica has failed.
        """
        return await self._runner.fail_on_error(self._request_handler.answer(request))
