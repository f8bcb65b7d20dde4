"""The database of a plain service, which its instances share through a file."""

import sqlite3

_BUSY_TIMEOUT_S = 5
_TABLE = 'CREATE TABLE IF NOT EXISTS runs (key TEXT PRIMARY KEY, state TEXT, answer BLOB)'
_PUT = 'INSERT OR REPLACE INTO runs VALUES (?, ?, ?)'
_FIND = 'SELECT state, answer FROM runs WHERE key = ?'


class Ledger:
    """State and answer of the newest run of each key.

    A run whose process dies stays in state `running`, because nobody knows how far it came.
    """

    def __init__(self, path: str) -> None:
        """Opens the database.

        :param path: file, or `:memory:` for an instance on its own.
        """
        self._database = sqlite3.connect(path, timeout=_BUSY_TIMEOUT_S, isolation_level=None)
        self._database.execute(_TABLE)

    def put(self, key: str, state: str, answer: bytes) -> None:
        """Records the state of a key.

        :param key: idempotency key.
        :param state: `running` or `done`.
        :param answer: body of the answer.
        """
        self._database.execute(_PUT, (key, state, answer))

    def find(self, key: str) -> tuple[str, bytes] | None:
        """Returns state and answer of a key, or None if it never ran."""
        return self._database.execute(_FIND, (key,)).fetchone()

    def close(self) -> None:
        """Closes the database."""
        self._database.close()
