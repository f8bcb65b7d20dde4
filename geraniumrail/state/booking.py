"""A request that may not be repeated, and how far it has come."""

from geraniumrail.core.codec import record
from geraniumrail.state.booking_key import BookingKey
from geraniumrail.state.stored_answer import StoredAnswer
from geraniumrail.state.stored_call import StoredCall

ACCEPTED = 'accepted'
DISPATCHED = 'dispatched'
DONE = 'done'
NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'outcome_unknown'
FINAL_PHASES = frozenset((DONE, NOT_RUN, OUTCOME_UNKNOWN))


@record
class Booking:
    """One booking or order.

    Invariant: `attempt` is set if and only if the first byte may have left for `backend`.
    Only `owner` may dispatch or finish it, but for the result of `attempt`, which its sender may
    store also after a handover.
    """

    key: BookingKey
    body_digest: str
    call: StoredCall
    owner: str  # entry id, with its incarnation
    phase: str = ACCEPTED
    attempt: str = ''
    backend: str = ''
    answer: StoredAnswer | None = None
    claimed_at: float = 0  # wall seconds of the claiming entry
    handovers: int = 0  # how often another entry took it over
    # Grows with each claim, release and handover. A command may arrive a second time, late; one
    # that names an earlier epoch is refused.
    epoch: int = 1

    def final(self) -> bool:
        """Returns whether the booking is final; after not_run a new claim may still come."""
        return self.phase in FINAL_PHASES
