"""Replication to one other member."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from geraniumrail.consensus.context import Context
from geraniumrail.consensus.entry import Entry
from geraniumrail.consensus.membership import Member
from geraniumrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
)
from geraniumrail.consensus.timeout import within
from geraniumrail.errors.base import GeraniumrailError

Reply = TypeVar('Reply', AppendReply, InstallReply)


class Peer:
    """Replication state of one member at the leader of a term, and the tasks that send to it.

    Heartbeats have their own task: a request with entries is answered only after a sync, and a slow
    disk must not look like a lost connection.
    """

    def __init__(
        self,
        context: Context,
        member: Member,
        next_request_number: Callable[[], int],
        on_reply: Callable[[int], None],
    ) -> None:
        """Creates the peer.

        :param context: the leader.
        :param member: receiver of the requests.
        :param next_request_number: returns the number of the next request to any member.
        :param on_reply: called after each reply with the term of the member.
        """
        self.member = member
        self.match_index = 0
        self.contact_at = float('-inf')  # when the last answered request was sent
        self.contact_request_number = -1  # number of that request, in the order of sending
        self.caught_up_at = float('-inf')  # when it last had all committed entries
        self.work_available = asyncio.Event()  # entries or a new commit index are to be sent
        self.heartbeat_requested = asyncio.Event()  # a heartbeat is to be sent at once
        self._context = context
        self._term = context.term
        self._next_request_number = next_request_number
        self._on_reply = on_reply
        self._next_index = context.journal.last_index + 1
        self._acknowledged_commit = 0
        # Leaves time for a second heartbeat, on a new connection, before the lease expires.
        self._heartbeat_timeout_s = context.config.lease_s / 2
        self.work_available.set()

    async def replicate(self) -> None:
        """Sends entries, one request at a time, each with as many as its limits allow."""
        context = self._context
        while True:
            await self.work_available.wait()
            self.work_available.clear()
            try:
                await self._send_all()
            except OSError:
                self.work_available.set()
                await context.clock.sleep(context.config.heartbeat_s / 2)

    async def send_heartbeats(self) -> None:
        """Sends heartbeats at a fixed rate, and at once when `heartbeat_requested` is set."""
        context = self._context
        while True:
            self.heartbeat_requested.clear()
            started = context.clock.now()
            with contextlib.suppress(OSError):
                await self._append(self._heartbeat())
            left = started + context.config.heartbeat_s - context.clock.now()
            if left > 0:
                with contextlib.suppress(TimeoutError):
                    await within(context.clock, left, self.heartbeat_requested.wait())

    async def request_campaign(self) -> None:
        """Asks the member to campaign; this replica must have stepped down."""
        request = self._request(self._context.journal.last_index, campaign=True)
        await self._call(self._context.transport.append(self.member.address, request))

    async def _send_all(self) -> None:
        context = self._context
        while self.match_index < context.journal.last_index:
            await self._send_next()
        if self._acknowledged_commit < context.applier.commit_index:
            try:
                await within(
                    context.clock, context.config.commit_notice_s, self.work_available.wait()
                )
            except TimeoutError:
                await self._append(self._heartbeat())

    def _heartbeat(self) -> AppendRequest:
        return self._request(max(self.match_index, self._context.journal.base_index))

    def _request(
        self,
        prev: int,
        entries: tuple[Entry, ...] = (),
        campaign: bool = False,
    ) -> AppendRequest:
        context = self._context
        return AppendRequest(
            group=context.config.group,
            group_id=context.membership.group_id,
            target=self.member.replica_id,
            sender=context.replica_id,
            address=context.config.address,
            term=self._term,
            prev_index=prev,
            prev_term=context.journal.term_at(prev) or 0,
            commit=context.applier.commit_index,
            entries=entries,
            campaign=campaign,
        )

    async def _send_next(self) -> None:
        journal = self._context.journal
        config = self._context.config
        if self._next_index <= journal.base_index:
            await self._install()
            return
        entries = journal.read(self._next_index, config.max_append_entries, config.max_append_bytes)
        reply = await self._append(self._request(self._next_index - 1, entries))
        if reply.success:
            self._next_index = self.match_index + 1
        elif reply.term <= self._term and not reply.refused:
            self._next_index = max(1, min(self._next_index - 1, reply.hint_index + 1))
        else:
            raise ConnectionRefusedError(reply.refused)

    async def _append(self, request: AppendRequest) -> AppendReply:
        sent_at = self._context.clock.now()
        number = self._next_request_number()
        call = self._context.transport.append(self.member.address, request)
        reply = await self._call(call, None if request.entries else self._heartbeat_timeout_s)
        if reply.success:
            self.match_index = max(self.match_index, reply.match_index)
            if reply.match_index >= request.commit:
                self.caught_up_at = max(self.caught_up_at, sent_at)
        if reply.match_index >= request.commit:
            self._acknowledged_commit = request.commit
        self._mark_contact(reply, sent_at, number)
        return reply

    async def _install(self) -> None:
        """Sends the snapshot in parts."""
        context = self._context
        snapshot = context.journal.snapshot
        size = context.config.install_part_bytes
        offset = 0
        while True:
            part = snapshot.payload[offset : offset + size]
            request = InstallRequest(
                group=context.config.group,
                group_id=context.membership.group_id,
                target=self.member.replica_id,
                sender=context.replica_id,
                address=context.config.address,
                term=self._term,
                index=snapshot.index,
                index_term=snapshot.term,
                membership=snapshot.membership,
                offset=offset,
                part=part,
                last=offset + len(part) == len(snapshot.payload),
            )
            sent_at = context.clock.now()
            number = self._next_request_number()
            call = context.transport.install(self.member.address, request)
            reply = await self._call(call)
            if reply.done:
                self.match_index = max(self.match_index, snapshot.index)
                self._next_index = snapshot.index + 1
            self._mark_contact(reply, sent_at, number)
            if reply.refused or reply.term > self._term:
                raise ConnectionRefusedError(reply.refused)
            if reply.done:
                return
            offset = reply.offset

    async def _call(
        self,
        call: Coroutine[Any, Any, Reply],
        timeout_s: float | None = None,
    ) -> Reply:
        limit = timeout_s or self._context.config.call_timeout_s
        try:
            reply = await within(self._context.clock, limit, call)
        except GeraniumrailError as error:
            raise ConnectionError(repr(error)) from error
        if reply.replica_id != self.member.replica_id and not reply.refused:
            raise ConnectionRefusedError(reply.replica_id)
        return reply

    def _mark_contact(self, reply: AppendReply | InstallReply, sent_at: float, number: int) -> None:
        if not reply.refused and reply.term <= self._term:
            self.contact_at = max(self.contact_at, sent_at)
            self.contact_request_number = max(self.contact_request_number, number)
        self._on_reply(reply.term)
