"""Records between the entry and control roles."""

import dataclasses

from geraniumrail.core.backend import Backend
from geraniumrail.core.codec import record
from geraniumrail.core.departure import Departure
from geraniumrail.core.load_row import LoadRow
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.fairness.entry_share import EntryShare
from geraniumrail.quarantine.crash_note import CrashNote
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.quarantine.sound_part import SoundPart
from geraniumrail.rollout.breaker_report import BreakerReport
from geraniumrail.rollout.outcome_stat import OutcomeStat
from geraniumrail.routing.named_limit import NamedLimit
from geraniumrail.settings.node import Node
from geraniumrail.state.booking import Booking
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.move import Move


@record
class Propose:
    """Asks the leader to put a command through the log."""

    command: bytes


@record
class Proposed:
    """The result of the command."""

    result: bytes


@record
class AwaitBooking:
    """Asks the leader to answer when a booking is final, or after the limit."""

    key: BookingKey
    limit_s: float


@record
class BookingNow:
    """The booking at the time of the answer."""

    booking: Booking


@record
class Usage:
    """What one organisation asked of one entry since its last report."""

    organisation: str
    tokens: float  # refused requests included
    admitted: float = 0  # from the local bucket of the entry; less than 0 after a refund


@record
class EntryInfo:
    """One entry as callers and operators see it."""

    entry: str  # id with incarnation
    instance: str
    address: str  # ip:port for callers
    peer_address: str  # ip:port of the links
    data_centre: str
    region: str
    state: str = 'serving'  # serving | leaving
    applied_revision: int = 0
    capacity: float = 1  # relative to the other entries; what its machine has


@record
class Started:
    """Requests that began to run in one usage window, at one entry."""

    window: int
    # By organisation, since the start of the entry, so that a report may be repeated.
    counts: dict[str, int]


@record
class ServiceDemand:
    """What callers asked of one service at one entry since its last report."""

    service: str
    requests: int
    tokens: float  # prompt and output tokens that the requests name
    # Of the attempts that have ended: what they named, the prompt tokens that the engine had to
    # read, and the time for which they used the whole batch of one engine after that.
    worked_tokens: float = 0
    read_tokens: float = 0
    batch_s: float = 0
    read_tokens_per_s: float = 0  # observed prefill rate of an engine; 0: not known


@record
class EntryReport:
    """What an entry tells the control leader, about once a second."""

    sequence: int
    info: EntryInfo
    registry_version: int = -1  # version of the registry that the entry holds; -1: none
    announces: tuple[Backend, ...] = ()
    outcomes: tuple[OutcomeStat, ...] = ()
    usage: tuple[Usage, ...] = ()
    breakers: tuple[BreakerReport, ...] = ()
    deployment_version: int = 0  # version of the configuration that the entry serves
    started: tuple[Started, ...] = ()
    wall: float = 0  # time of day at the entry when it sent the report
    demand: tuple[ServiceDemand, ...] = ()
    holds_lease: bool = False  # the entry has taken an update, and may serve
    takes_packed: bool = False  # the entry reads `ControlUpdate.packed_deployment`
    crashes: tuple[CrashNote, ...] = ()
    sounds: tuple[SoundPart, ...] = ()
    # Seconds since the last request that a quarantine covers, by its label.
    held_back: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: tuple[NamedLimit, ...] = ()  # that backend servers have named to the entry
    # Seconds for which backend servers are still cold, as their answers said.
    cold: dict[str, float] = dataclasses.field(default_factory=dict)


@record
class ControlUpdate:
    """What the control leader tells an entry: differences since its last update."""

    term: int
    answers: int  # sequence of the report that this update answers
    lease_s: float  # counted from when that report was sent
    revision: int
    nodes: tuple[Node, ...] = ()
    moves: tuple[Move, ...] = ()
    registry_version: int = 0
    registry_full: bool = False  # `backends` is everything, not a difference
    backends: tuple[Backend, ...] = ()
    loads: tuple[LoadRow, ...] = ()
    gone: tuple[str, ...] = ()
    departures: tuple[Departure, ...] = ()  # recorded since the last update of this stream
    noted: tuple[Backend, ...] = ()  # served under an earlier leader, not announced to this one
    entries: tuple[EntryInfo, ...] = ()
    share: EntryShare = EntryShare(entries=1, share_by_organisation={})
    drained: tuple[str, ...] = ()
    assigned: tuple[Booking, ...] = ()
    deployment_version: int = 0
    # If the entry holds an older one, one of both; without its source.
    deployment: Deployment | None = None
    packed_deployment: bytes = b''  # for an entry that takes it
    members: tuple[str, ...] = ()  # link addresses of the group
    wall_error_s: float = 0  # time of day of the entry minus the median of all
    window_s: float = 0  # length of a usage window; 0: usage is not reported
    quarantines: tuple[Quarantine, ...] | None = None  # None: unchanged
    watched: dict[str, tuple[str, ...]] | None = None  # prompt parts by service; None: unchanged
    # Requests a second that the entry may send, by limited backend server; None: unchanged.
    engine_rates: dict[str, float] | None = None
    trials: tuple[str, ...] = ()  # quarantines of which the entry may send one request
    evacuated: tuple[str, ...] | None = None  # data centres; None: unchanged
    # Requests a second that the entry may send, by cold backend server; None: unchanged.
    cold_rates: dict[str, float] | None = None


@record
class LeavingNotice:
    """Sent from entry to entry so that a leaving backend server gets no new work anywhere."""

    backends: tuple[Backend, ...]


@record
class Accepted:
    """An answer without content."""
