"""Records the serving backend servers in the replicated log.

Entries that start under a new leader use these notes until the backend servers have announced
themselves to it.
"""

import asyncio
import dataclasses

from geraniumrail.control import events
from geraniumrail.control.backend_registry import RegisteredBackend
from geraniumrail.control.control import Control
from geraniumrail.core.backend import Backend
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.state.note_backends import NoteBackends

# Within this time every backend server has announced itself to a new leader; the announcement
# interval is 1.2 s.
ANNOUNCEMENT_WAIT_S = 3.0
# In one command; a record takes about 340 bytes, and a command at most 1 MiB.
MAX_ADDED_BACKENDS = 1000
COLD_S = 1.0  # noted of a cold backend server


class BackendNotes:
    """A job of the leader; the notes are a hint and do not decide which backend servers serve."""

    name = 'backend_notes'

    def __init__(self, control: Control) -> None:
        """Connects the control role.

        :param control: the control role of this process.
        """
        self._control = control
        self._leader_since = control.now()
        self._write_task: asyncio.Task[None] | None = None

    def became_leader(self) -> None:
        """Starts the wait for announcements, before which no notes are removed."""
        self._leader_since = self._control.now()

    async def run_once(self) -> None:
        """Starts to write the changes since the last notes; does not wait for the commit."""
        if self._write_task is not None and not self._write_task.done():
            return
        command = self._difference()
        if command is not None:
            self._write_task = asyncio.create_task(self._write(command), name=self.name)

    def _difference(self) -> NoteBackends | None:
        registry = self._control.publisher.registry
        noted = self._control.machine.tables.noted_by_instance
        serving = {
            instance: _note(registered, self._control.now())
            for instance, registered in registry.registered_by_instance.items()
            if registered.backend.state == 'serving'
        }
        added = [note for instance, note in serving.items() if noted.get(instance) != note]
        all_announced = self._control.now() - self._leader_since >= ANNOUNCEMENT_WAIT_S
        removed = [
            instance
            for instance, note in noted.items()
            if instance not in serving and (all_announced or registry.has_left(note))
        ]
        if not added and not removed:
            return None
        return NoteBackends(added=tuple(added[:MAX_ADDED_BACKENDS]), removed=tuple(removed))

    async def _write(self, command: NoteBackends) -> None:
        try:
            await self._control.proposer.propose(command)
        except GeraniumrailError as error:
            log(events.TASK_FAILED, task=self.name, reason=str(error))


def _note(registered: RegisteredBackend, now: float) -> Backend:
    backend = registered.backend
    return dataclasses.replace(
        backend,
        sequence=0,
        load=LoadReport(slots=backend.load.slots),
        cache_events=(),
        leaves_in_s=-1,
        # The seconds that are left would change with each announcement.
        cold_s=COLD_S if registered.cold_until > now else 0,
    )
