"""Keeps the backend servers that serve in the log, for entries that start with a new leader."""

import asyncio
import dataclasses

from geraniumrail.control import events
from geraniumrail.control.control import Control
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.state.note_backends import NoteBackends

# A new leader has heard of every backend server after this time; announcements come every 1.2 s.
SETTLE_S = 3.0
# In one command; a record takes about 340 bytes, and a command at most 1 MiB.
MOST_ADDED = 1000


class BackendNotes:
    """A job of the leader; what it writes is a hint and never decides who serves."""

    name = 'backend_notes'

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control
        self._since = control.now()
        self._writing: asyncio.Task[None] | None = None

    def became_leader(self) -> None:
        """Waits for announcements before notes are removed."""
        self._since = self._control.now()

    async def run_once(self) -> None:
        """Writes what has changed, without waiting for the log."""
        if self._writing is not None and not self._writing.done():
            return
        command = self._difference()
        if command is not None:
            self._writing = asyncio.create_task(self._write(command), name=self.name)

    def _difference(self) -> NoteBackends | None:
        registry = self._control.publisher.registry
        noted = self._control.machine.tables.noted_by_instance
        serving = {
            instance: _note(known.backend)
            for instance, known in registry.registered_by_instance.items()
            if known.backend.state == 'serving'
        }
        added = [note for instance, note in serving.items() if noted.get(instance) != note]
        is_settled = self._control.now() - self._since >= SETTLE_S
        removed = [
            instance
            for instance in noted
            if instance not in serving and (is_settled or registry.has_left(instance))
        ]
        if not added and not removed:
            return None
        return NoteBackends(added=tuple(added[:MOST_ADDED]), removed=tuple(removed))

    async def _write(self, command: NoteBackends) -> None:
        try:
            await self._control.proposer.propose(command)
        except GeraniumrailError as error:
            log(events.TASK_FAILED, task=self.name, reason=str(error))


def _note(backend: Backend) -> Backend:
    return dataclasses.replace(
        backend,
        sequence=0,
        load=LoadReport(slots=backend.load.slots),
        cache_events=(),
        leaves_in_s=-1,
    )
