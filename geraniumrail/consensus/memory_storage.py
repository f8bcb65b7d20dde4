"""Log storage for instances without a disk."""

import secrets
from collections.abc import Sequence

from geraniumrail.consensus.entry import Entry, HardState, Stored

_RANDOM_BYTES = 6


class MemoryStorage:
    """Keeps the log in memory; a restarted process has a new replica id and must be added again."""

    def __init__(self, stored: Stored) -> None:
        """Creates the storage.

        :param stored: initial content.
        """
        self._stored = stored

    @classmethod
    def create(cls, name: str) -> 'MemoryStorage':
        """Creates an empty storage with a new replica id.

        :param name: first part of the replica id.
        """
        return cls(Stored(replica_id=new_replica_id(name)))

    def load(self) -> Stored:
        """Returns what is stored."""
        return self._stored

    async def write(self, hard: HardState | None, entries: Sequence[Entry]) -> None:
        """Does nothing: the replica has the entries in memory.

        :param hard: new term and vote.
        :param entries: new entries.
        """

    async def compact(self, state: Stored) -> None:
        """Does nothing: the replica has the snapshot in memory.

        :param state: the snapshot and the rest of the log.
        """

    async def close(self) -> None:
        """Does nothing."""


def new_replica_id(name: str) -> str:
    """Returns a new replica id.

    :param name: first part of the id.
    """
    return f'{name}.{secrets.token_hex(_RANDOM_BYTES)}'
