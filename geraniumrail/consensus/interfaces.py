"""Interfaces of a replica to its state machine, transport and storage."""

from collections.abc import Sequence
from typing import Protocol

from geraniumrail.consensus.entry import Entry, HardState, Stored
from geraniumrail.consensus.messages import (
    AppendReply,
    AppendRequest,
    InstallReply,
    InstallRequest,
    VoteReply,
    VoteRequest,
)


class StateMachine(Protocol):
    """Deterministic: the same commands give the same state and results on each replica."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies a committed command and returns its result.

        :param index: position in the log; increasing, with gaps.
        :param command: as it was proposed.
        """

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replaces the whole state.

        :param snapshot: result of `snapshot`, or no bytes for the empty state.
        """


class Transport(Protocol):
    """Sends requests; a call without a reply raises `PeerUnreachableError` or `OSError`."""

    async def vote(self, address: str, request: VoteRequest) -> VoteReply:
        """Sends a vote request.

        :param address: ip:port of the target.
        :param request: what to send.
        """

    async def append(self, address: str, request: AppendRequest) -> AppendReply:
        """Sends entries or a heartbeat.

        :param address: ip:port of the target.
        :param request: what to send.
        """

    async def install(self, address: str, request: InstallRequest) -> InstallReply:
        """Sends a part of a snapshot.

        :param address: ip:port of the target.
        :param request: what to send.
        """


class LogStorage(Protocol):
    """Stores a log; calls never overlap, and the data of a finished call survives a crash."""

    def load(self) -> Stored:
        """Returns the stored state; generates a replica id if there is none.

        :raises LogDamagedError: if a record other than the last one fails its checksum.
        """

    async def write(self, hard: HardState | None, entries: Sequence[Entry]) -> None:
        """Adds entries; one with an index that is already stored replaces it and all after it.

        :param hard: new term and vote, or None if unchanged.
        :param entries: in the order they were accepted.
        """

    async def compact(self, state: Stored) -> None:
        """Stores a snapshot, then replaces the log.

        :param state: the snapshot and the rest of the log.
        """

    async def close(self) -> None:
        """Releases files and threads."""
