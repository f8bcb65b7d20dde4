"""Results of commands; a refused command has the result `core.refused.Refused`."""

from geraniumrail.core.codec import record
from geraniumrail.state.booking import Booking
from geraniumrail.state.move import Move


@record
class Changed:
    """The settings change is in the log."""

    change_id: str
    path: str
    version: int
    revision: int


@record
class Claimed:
    """The caller of ClaimBooking is the owner and may dispatch."""

    booking: Booking


@record
class Attached:
    """The key is known: `booking` is running under another owner or is final."""

    booking: Booking


@record
class BookingUpdated:
    """The booking after the command."""

    booking: Booking


@record
class BookingsExpired:
    """How many bookings were removed."""

    count: int


@record
class MoveUpdated:
    """The move after the command."""

    move: Move


@record
class DrainSet:
    """The drain is recorded."""

    target: str
    draining: bool


@record
class OrderIssued:
    """The number of the order; the term comes from the leader."""

    number: int
    superseded: bool = False  # a repeated order, and the backend server got a later one since


@record
class DeploymentHeld:
    """The version in force after the command; it may be higher than the one proposed."""

    version: int


@record
class DutyHeld:
    """The holder of the duties and its fencing number."""

    holder: str
    number: int


@record
class WindowClosed:
    """The counts of a usage window as they were fixed first."""

    window: int
    counts: dict[str, int]
    sent: bool


@record
class BackendsNoted:
    """How many backend servers are noted."""

    count: int


@record
class QuarantinesSet:
    """How many quarantines are in force."""

    count: int


@record
class QuarantineReleased:
    """Who released a quarantine first, and when."""

    label: str
    operator: str
    at: float


@record
class DeparturesRecorded:
    """The number of the last departure that was ever recorded."""

    last: int


@record
class EvacuationSet:
    """Whether a data centre is evacuated after the command."""

    data_centre: str
    evacuated: bool
    number: int  # of the last change of any evacuation
    is_current: bool  # False: another change came before, and nothing was done
