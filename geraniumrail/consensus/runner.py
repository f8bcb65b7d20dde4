"""The tasks of a replica."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from geraniumrail.consensus import events
from geraniumrail.consensus.context import Context
from geraniumrail.consensus.election import campaign
from geraniumrail.consensus.leadership import Leadership
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import NoGroupError, NotLeaderError, ReplicaFailedError

Reply = TypeVar('Reply')


class Runner:
    """Campaigns when there is no contact with a leader, and leads after an election is won."""

    def __init__(self, context: Context) -> None:
        """Creates the runner.

        :param context: the replica.
        """
        self.leadership: Leadership | None = None
        self._context = context
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks = [
            asyncio.ensure_future(self.fail_on_error(self._context.journal.run())),
            asyncio.ensure_future(self.fail_on_error(self._run_elections())),
        ]

    async def stop(self) -> None:
        """Stops the tasks and raises `ReplicaFailedError` in all waiting calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fail('stopped')

    def require_leadership(self) -> Leadership:
        """Returns the leadership if this replica may act as the leader.

        :raises ReplicaFailedError: if this replica has failed.
        :raises NoGroupError: if it belongs to no group.
        :raises NotLeaderError: if another replica leads.
        :raises NoQuorumError: if a majority can't be reached.
        """
        context = self._context
        if context.election.role == 'failed':
            raise ReplicaFailedError(replica_id=context.replica_id, reason='see the log')
        if not context.membership.group_id:
            raise NoGroupError
        if self.leadership is None:
            raise NotLeaderError(leader=context.election.leader_address or None)
        self.leadership.require_lease()
        return self.leadership

    async def fail_on_error(self, work: Coroutine[Any, Any, Reply]) -> Reply:
        """Awaits work; an unexpected error makes the replica fail, so that it breaks no guarantee.

        :param work: coroutine to await.
        :raises ReplicaFailedError: after any error.
        """
        try:
            return await work
        except ReplicaFailedError:
            raise
        except Exception as error:
            log(events.FAILED, replica=self._context.replica_id, error=repr(error))
            self._fail(repr(error))
            raise ReplicaFailedError(
                replica_id=self._context.replica_id,
                reason=repr(error),
            ) from error

    async def _run_elections(self) -> None:
        context = self._context
        election = context.election
        while election.role != 'failed':
            due = context.is_transfer_target() or context.clock.now() >= election.deadline
            voter = context.replica_id in context.membership.voter_ids()
            early = not due and context.may_campaign_early()
            if (due or early) and voter and await campaign(context, early=early):
                await self._lead()
            elif due:
                context.set_deadline(min_timeouts=0.2)
            elif early:
                context.set_early_campaign()
            await context.wait_for_change()

    async def _lead(self) -> None:
        election = self._context.election
        election.role = 'leader'
        election.leader_id = self._context.replica_id
        election.leader_address = self._context.config.address
        self.leadership = Leadership(self._context)
        try:
            await self.leadership.run()
        finally:
            self.leadership.end()
            self.leadership = None

    def _fail(self, reason: str) -> None:
        context = self._context
        context.election.role = 'failed'
        context.journal.fail(ReplicaFailedError(replica_id=context.replica_id, reason=reason))
        context.applier.fail_proposals(float('inf'))
        context.election_changed.set()
