"""Applies committed entries to the state machine."""

import asyncio

from geraniumrail.consensus import events
from geraniumrail.consensus.config import ReplicaConfig
from geraniumrail.consensus.entry import Entry, Snapshot
from geraniumrail.consensus.interfaces import StateMachine
from geraniumrail.consensus.journal import Journal
from geraniumrail.consensus.status import Result
from geraniumrail.core.events import log
from geraniumrail.errors.consensus import ProposalLostError

_Proposal = tuple[float, 'asyncio.Future[Result]']

_READ_ENTRIES = 1024
_READ_BYTES = 1 << 22


class Applier:
    """Tracks the committed and applied positions and the proposals that wait for their result."""

    def __init__(self, journal: Journal, machine: StateMachine, config: ReplicaConfig) -> None:
        """Creates the applier and loads the snapshot.

        :param journal: log of the replica.
        :param machine: state machine of the caller.
        :param config: says when a snapshot is due and what is kept before it.
        """
        self.commit_index = journal.snapshot.index
        self.applied_index = journal.snapshot.index
        self._journal = journal
        self._machine = machine
        self._config = config
        self._pending_by_index: dict[int, _Proposal] = {}
        self._applied_bytes = 0  # since the last snapshot
        machine.restore(journal.snapshot.payload)

    @property
    def pending(self) -> int:
        """Number of proposals that wait for their result."""
        return len(self._pending_by_index)

    def advance(self, commit: int) -> None:
        """Applies entries up to a committed position and resolves their proposals.

        :param commit: position known to be committed.
        """
        self.commit_index = max(self.commit_index, min(commit, self._journal.last_index))
        while self.applied_index < self.commit_index:
            for entry in self._journal.read(self.applied_index + 1, _READ_ENTRIES, _READ_BYTES):
                if entry.index > self.commit_index:
                    break
                self._apply(entry)
            self._compact_log()

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the state by a snapshot from the leader.

        :param snapshot: newer than the applied position.
        """
        self._machine.restore(snapshot.payload)
        self.applied_index = snapshot.index
        self.commit_index = snapshot.index
        self._applied_bytes = 0
        self.fail_proposals_until(snapshot.index)

    def result_future(self, index: int, now: float) -> 'asyncio.Future[Result]':
        """Returns a future for the result of an entry that this leader has appended.

        :param index: position of the entry.
        :param now: time in seconds.
        """
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._pending_by_index[index] = (now, future)
        return future

    def fail_proposals(self, appended_until: float) -> None:
        """Fails proposals appended up to a time with `ProposalLostError`: the outcome is unknown.

        :param appended_until: time in seconds, inclusive.
        """
        old = [index for index, pair in self._pending_by_index.items() if pair[0] <= appended_until]
        self._fail_proposals(old)

    def fail_proposals_until(self, index: int) -> None:
        """Fails proposals up to a position with `ProposalLostError`: the outcome is unknown.

        :param index: last position, inclusive.
        """
        self._fail_proposals([waiting for waiting in self._pending_by_index if waiting <= index])

    def _compact_log(self) -> None:
        """Takes a snapshot if the log since the last one is long, and at least as large as it."""
        config = self._config
        if not self._is_long() or self._replaceable_bytes < len(self._journal.snapshot.payload):
            return
        payload = self._machine.snapshot()
        self._journal.compact(self.applied_index, payload, config.keep_entries, config.keep_bytes)
        log(
            events.SNAPSHOT,
            index=self.applied_index,
            bytes=len(payload),
            applied_bytes=self._applied_bytes,
            log_bytes=self._journal.size,
        )
        self._applied_bytes = 0

    def _is_long(self) -> bool:
        entries = self.applied_index - self._journal.snapshot.index
        return (
            entries >= self._config.snapshot_after_entries
            or self._replaceable_bytes >= self._config.snapshot_after_bytes
        )

    @property
    def _replaceable_bytes(self) -> int:
        """Bytes of the log that a snapshot would replace."""
        return self._applied_bytes + self._journal.superseded_bytes

    def _fail_proposals(self, indexes: list[int]) -> None:
        for index in indexes:
            future = self._pending_by_index.pop(index)[1]
            if not future.done():
                future.set_exception(ProposalLostError(index=index))

    def _apply(self, entry: Entry) -> None:
        payload = b''
        if entry.kind == 'command':
            payload = self._machine.apply(entry.index, entry.payload)
        elif entry.kind == 'membership':
            log(events.MEMBERSHIP_CHANGED, index=entry.index, term=entry.term)
        self.applied_index = entry.index
        self._applied_bytes += len(entry.payload)
        _, future = self._pending_by_index.pop(entry.index, (0, None))
        if future is not None and not future.done():
            future.set_result(Result(index=entry.index, payload=payload))
