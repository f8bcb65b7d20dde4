"""What a process keeps for clients whose requests are not complete."""

import collections
import dataclasses
import resource

from geraniumrail.callers import events
from geraniumrail.callers.connection_limit import ConnectionLimit
from geraniumrail.callers.head_budget import DEFAULT_HEAD_BUDGET_BYTES, HeadBudget
from geraniumrail.core.events import log

# Part of the memory limit. The parser keeps up to three copies of a head.
HEADS_PART = 0.05
BYTES_PER_MB = 1_000_000
# Descriptors for files, links between processes and listening sockets.
RESERVED_DESCRIPTORS = 200
# Part of the others for clients; the rest is for connections to backend servers, of which each
# request in progress takes one.
CLIENTS_PART = 2 / 3
MIN_CONNECTIONS = 32
# Connections that wait to be accepted are accepted all at once, before any is closed for room.
WAITING_PART = 1 / 8
MIN_WAITING = 64
MAX_WAITING = 1024

# Reasons of a connection that was refused.
HEAD = 'head'
FRAMING = 'framing'
MALFORMED = 'malformed'
NO_ROOM = 'no_room'
CONNECTIONS = 'connections'


@dataclasses.dataclass(frozen=True)
class ClientLimits:
    """Shared by all listening addresses of a process."""

    heads: HeadBudget
    connections: ConnectionLimit
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    @classmethod
    def from_machine(cls, memory_mb: float = 0, max_descriptors: int = 0) -> 'ClientLimits':
        """Sizes the limits.

        :param memory_mb: limit of the process; 0 if it is not known.
        :param max_descriptors: as `memory_mb`; that of the operating system holds too.
        """
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = min(max_descriptors or allowed, allowed)
        limit = int((descriptors - RESERVED_DESCRIPTORS) * CLIENTS_PART)
        head_bytes = int(HEADS_PART * memory_mb * BYTES_PER_MB) or DEFAULT_HEAD_BUDGET_BYTES
        return cls(HeadBudget(head_bytes), ConnectionLimit(max(MIN_CONNECTIONS, limit)))

    @property
    def backlog(self) -> int:
        """How many connections may wait to be accepted at one address."""
        part = int(self.connections.limit * WAITING_PART)
        return min(MAX_WAITING, max(MIN_WAITING, part))

    def note_refused(self, reason: str, source: str, received_bytes: int) -> None:
        """Counts and logs a connection that was refused.

        :param reason: one of the reasons above.
        :param source: address of the client.
        :param received_bytes: of the present head or framing.
        """
        self.refused[reason] += 1
        log(
            events.CLIENT_REFUSED,
            source=source,
            reason=reason,
            received_bytes=received_bytes,
            held_bytes=self.heads.held_bytes,
            connections=len(self.connections),
        )
