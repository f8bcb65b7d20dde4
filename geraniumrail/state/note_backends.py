"""A command of the replicated state machine: which backend servers serve."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.codec import record


@record
class NoteBackends:
    """Notes which backend servers serve: a hint for entries that start with a new leader."""

    added: tuple[Backend, ...] = ()  # without load
    removed: tuple[str, ...] = ()
