"""A bound on the connections from clients, over all listening addresses of a process.

The load is clients that open connections and send nothing, or never finish a head.
"""

from typing import Protocol


class Closable(Protocol):
    """A connection from a client."""

    has_served: bool  # a request was handled before

    @property
    def is_idle(self) -> bool:
        """Whether no request has arrived that is not answered."""

    def close_for_room(self) -> None:
        """Ends the connection."""


class ConnectionLimit:
    """Closes an idle connection for each one above the limit.

    Connections that have never brought a request come first, then the longest idle; without an idle
    one the new connection is closed.
    """

    def __init__(self, limit: int) -> None:
        """Starts without connections.

        :param limit: of all connections together.
        """
        self.limit = limit
        # The values are not used; the order is that of the last bytes.
        self._connections: dict[Closable, None] = {}

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    def open(self, connection: Closable) -> None:
        """Adds a connection.

        :param connection: the new one.
        """
        if len(self._connections) >= self.limit:
            self._make_room(connection)
        self._connections[connection] = None

    def touch(self, connection: Closable) -> None:
        """Notes that bytes have arrived.

        :param connection: on which they have.
        """
        self.close(connection)
        self._connections[connection] = None

    def close(self, connection: Closable) -> None:
        """Removes a connection.

        :param connection: which has ended.
        """
        self._connections.pop(connection, None)

    def _make_room(self, newest: Closable) -> None:
        idle = [each for each in self._connections if each.is_idle]
        chosen = min(idle, key=lambda each: each.has_served, default=newest)
        self._connections.pop(chosen, None)
        chosen.close_for_room()
