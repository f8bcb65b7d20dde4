"""Commands of the replicated state machine; `at` is wall seconds of the proposer."""

from geraniumrail.core.codec import record
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.stored_answer import StoredAnswer
from geraniumrail.state.stored_call import StoredCall


@record
class ChangeSettings:
    """Compare-and-set of one node; a repeated `change_id` returns the first result."""

    change_id: str
    path: str
    expected_version: int
    values: dict[str, bool | int | float | str | None]
    operator: str
    at: float = 0


@record
class ClaimBooking:
    """Accepts a booking for `owner`, or tells what became of the same key before."""

    key: BookingKey
    body_digest: str
    call: StoredCall
    owner: str
    at: float = 0
    epoch: int = 0  # of the booking that ended as not_run, to claim it again


@record
class DispatchBooking:
    """Records, before the first byte leaves, that `attempt` goes to `backend`."""

    key: BookingKey
    owner: str
    attempt: str
    backend: str
    epoch: int = 1  # of the booking that is dispatched


@record
class ReleaseBooking:
    """Takes a dispatch back: the backend server certainly did not run the attempt."""

    key: BookingKey
    owner: str
    attempt: str


@record
class FinishBooking:
    """Stores the outcome, once."""

    key: BookingKey
    owner: str
    phase: str  # one of booking.FINAL_PHASES
    answer: StoredAnswer
    attempt: str = ''
    epoch: int = 1  # needed for not_run, which has no attempt


@record
class ReassignBooking:
    """Hands an unfinished booking of a lost entry to another."""

    key: BookingKey
    from_owner: str
    to_owner: str


@record
class ExpireBookings:
    """Removes final bookings claimed before a time, and the oldest above the limit."""

    claimed_before: float


@record
class StartMove:
    """Starts a version move; a repeated `move_id` returns the first result."""

    move_id: str
    service: str
    to_version: str
    deadline: float
    operator: str
    at: float = 0
    from_version: str = ''  # by default the version that the settings of the service name


@record
class StepMove:
    """Sets the share of the new version; `step` must follow the recorded one."""

    move_id: str
    step: int
    share: float
    reason: str = ''
    at: float = 0


@record
class EndMove:
    """Records the end of a move, once."""

    move_id: str
    phase: str  # one of move.MOVE_ENDS
    reason: str
    at: float = 0


@record
class SetDrain:
    """Starts or ends the drain of an entry or a backend server."""

    target: str
    draining: bool
    operator: str


@record
class IssueOrder:
    """Takes the next order number; a repeated `order_id` returns the first."""

    backend: str
    kind: str
    name: str = ''
    order_id: str = ''


@record
class ReplaceDeployment:
    """Puts a configuration in force if its version is higher than the one held."""

    deployment: Deployment


@record
class TakeDuty:
    """Makes an instance the holder of the duties, with the next fencing number."""

    holder: str
    above: int = 0  # a number that was refused; the next one must be higher


@record
class CloseWindow:
    """Fixes the counts of a usage window, once; a repeat returns what was fixed."""

    window: int
    counts: dict[str, int]
    instances: tuple[str, ...] = ()  # whose entries report; a later leader waits for them


@record
class WindowSent:
    """Records that the report of a usage window was accepted."""

    window: int
