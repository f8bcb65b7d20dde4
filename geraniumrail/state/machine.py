"""Connects the tables to the replicated log."""

from collections.abc import Callable

from geraniumrail.core import codec
from geraniumrail.core.refused import Refused
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.state import (
    apply_bookings,
    apply_departures,
    apply_deployment,
    apply_evacuations,
    apply_moves,
    apply_operations,
    apply_settings,
)
from geraniumrail.state.apply import apply
from geraniumrail.state.tables import Tables, TablesImage

REGISTERED = (
    apply_bookings,
    apply_departures,
    apply_deployment,
    apply_evacuations,
    apply_moves,
    apply_operations,
    apply_settings,
)

Listener = Callable[[object, object], None]


class Machine:
    """State machine of one group; `tables` may be read by tasks of the same process."""

    def __init__(self) -> None:
        """Starts with empty tables."""
        self.tables = Tables()
        self.applied = 0
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Calls `listener(command, result)` after each applied command, in order.

        :param listener: must not block; the command is None after a snapshot was restored.
        """
        self._listeners.append(listener)

    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command.

        :param index: its place in the log.
        :param command: bytes of a record of `state.commands`.
        """
        decoded = codec.decode(command)
        try:
            answer = apply(decoded, self.tables)
        except GeraniumrailError as error:
            answer = Refused.from_error(error)
        self.applied = index
        for listener in self._listeners:
            listener(decoded, answer)
        return codec.encode(answer)

    def snapshot(self) -> bytes:
        """Returns the tables as bytes."""
        return codec.encode(TablesImage.from_tables(self.tables))

    def restore(self, snapshot: bytes) -> None:
        """Replaces the tables.

        :param snapshot: bytes made by `snapshot`, or none for the empty state.
        """
        self.tables = codec.decode(snapshot).to_tables() if snapshot else Tables()
        for listener in self._listeners:
            listener(None, None)
