"""The bytes of answers that a process keeps, and the answers that it broke off."""

import collections

from geraniumrail.backends.events import ANSWER_BROKEN_OFF
from geraniumrail.core.byte_budget import ByteBudget
from geraniumrail.core.events import log

# Reasons of an answer that was broken off.
TOO_LONG = 'too_long'
ANNOUNCED = 'announced_too_long'
INTERIM = 'interim_answers'
FRAMING = 'framing'
NO_ROOM = 'no_room'


class AnswerBudget(ByteBudget):
    """A budget of answers, by address of the backend server."""

    def __init__(self, limit_bytes: int) -> None:
        """Starts empty.

        :param limit_bytes: of all answers together.
        """
        super().__init__(limit_bytes)
        self.broken_off: collections.Counter[str] = collections.Counter()  # by reason

    def note_broken_off(self, reason: str, address: str, received_bytes: int) -> None:
        """Counts and logs an answer that was broken off.

        :param reason: one of the reasons above.
        :param address: ip:port of the backend server.
        :param received_bytes: what had arrived of it.
        """
        self.broken_off[reason] += 1
        log(
            ANSWER_BROKEN_OFF,
            address=address,
            reason=reason,
            received_bytes=received_bytes,
            held_bytes=self.held_bytes,
        )
