"""A connection to a backend server that is reused only if nothing is amiss."""

import asyncio
import re
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

from geraniumrail.backends.answer_budget import (
    ANNOUNCED,
    FRAMING,
    INTERIM,
    NO_ROOM,
    TOO_LONG,
    AnswerBudget,
)
from geraniumrail.backends.strict_handler import INTERIM as INTERIM_STATUSES
from geraniumrail.backends.strict_handler import StrictHandler
from geraniumrail.core.byte_budget import Hold

# Closes idle connections before the backend server does: a request that crosses its close may
# have run. The part leaves room for the way of the request and of the close.
USED_PART_OF_IDLE = 0.6
# Bytes of one answer with all that belongs to it, also chunk extensions and trailers, which no
# other limit counts. Twice the longest body that the clients of plain services accept; a backend
# server in trouble may send without end.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# Answers with a status of 1xx before the final one; the HTTP library reads on for ever.
MAX_INTERIM_ANSWERS = 8
# By which the chunk sizes, extensions and trailers of an answer may exceed its body: chunks of a
# byte or two cost as much time as large ones. One read, 256 KiB, may wait to be parsed.
MAX_FRAMING_BYTES = 384 * 1024
# A connection that has carried so many is closed, which bounds what it remembers of them: 8 bytes
# of each.
MAX_REQUESTS = 1000
_HASH_BYTES = 8
_MAX_DIGITS = 19  # of a length; longer ones are too large by their first digits
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')


class IdleLimits:
    """How long idle connections are kept, by address of the backend server."""

    def __init__(self, default_s: float) -> None:
        """Starts without announced limits.

        :param default_s: seconds, where a backend server has announced none.
        """
        self._default_s = default_s
        self._limits_by_address: dict[str, float] = {}

    def announce(self, address: str, idle_s: float) -> None:
        """Notes what a backend server has announced.

        :param address: ip:port.
        :param idle_s: seconds after which it closes an idle connection.
        """
        self._limits_by_address[address] = idle_s * USED_PART_OF_IDLE

    def limit_s(self, address: str) -> float:
        """Returns how long a connection may be idle and still be used, in seconds.

        :param address: ip:port.
        """
        return min(self._default_s, self._limits_by_address.get(address, self._default_s))


class GuardedHandler(StrictHandler):
    """Refuses reuse after stray bytes or a long pause, and notices answers that were reset.

    A server may send the copy of an earlier answer where the next one is due. The copy names its
    request, so it can only be told from the answer if no request comes twice on the connection.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: IdleLimits, budget: AnswerBudget
    ) -> None:
        """Creates the protocol of one connection.

        :param loop: the event loop.
        :param limits: of idle connections.
        :param budget: of the bytes of all answers.
        """
        super().__init__(loop)
        self._hold = budget.hold('', self._give_up)  # of the present answer
        self._is_hold_taken = False
        self._budget = budget
        self._limits = limits
        self._carried = bytearray()  # a hash of the id of each request
        self._received_at = loop.time()
        self._answer_bytes = 0
        self._interim_answers = 0
        self._is_broken_off = False
        self._has_head = False  # of the final answer
        self._head_bytes = 0  # with the bytes that came together with its end
        self._has_stray = False  # bytes came after the whole answer

    @property
    def requests(self) -> int:
        """How many requests with an id the connection has carried."""
        return len(self._carried) // _HASH_BYTES

    @property
    def should_close(self) -> bool:
        """Whether the connection is closed when its answer has ended."""
        return super().should_close or self.requests >= MAX_REQUESTS

    def claim(self, request_id: str) -> bool:
        """Returns whether the connection may carry a request, which it remembers.

        :param request_id: empty if the answer names no request.
        """
        if not request_id:
            return True
        # Equal hashes of two ids cost a connection, nothing else.
        hashed = hash(request_id).to_bytes(_HASH_BYTES, 'big', signed=True)
        if hashed in self._carried:
            return False
        self._carried += hashed
        return True

    def set_response_params(self, **params: Any) -> None:
        """Starts to count: a request is about to be sent.

        :param params: of the HTTP library.
        """
        self._answer_bytes = 0
        self._interim_answers = 0
        self._is_broken_off = False
        self._has_head = False
        self._has_stray = False
        if not self._is_hold_taken:
            self._hold.end()
        self._hold = self._budget.hold(self.address, self._give_up)
        self._is_hold_taken = False
        super().set_response_params(**params)

    def take_hold(self) -> Hold:
        """Returns what counts the bytes of the present answer; its owner ends it."""
        self._is_hold_taken = True
        return self._hold

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Counts the heads that are not of the final answer, and refuses a body that is too long.

        A copy of an earlier answer may end within its head. What follows is read as the rest of it:
        the status of the copy with the headers of the answer that is due.

        :param data: head and body of an answer.
        :param size: of the HTTP library.
        """
        if self.requests > 1 and _holds_status_line(data[0]):
            self.abort_answer(
                ClientPayloadError('the beginning of an earlier answer precedes the head')
            )
            return
        is_interim = data[0].code in INTERIM_STATUSES
        self._interim_answers += is_interim
        self._has_head = self._has_head or not is_interim
        self._head_bytes = self._answer_bytes
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self._break_off(INTERIM)
        if data[1] is not EMPTY_PAYLOAD and _announced(data[0]) > MAX_ANSWER_BYTES:
            self._break_off(ANNOUNCED)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Notes when the last bytes came, and breaks off an answer that has no end.

        :param data: the bytes.
        """
        self._received_at = self._loop.time()
        self._answer_bytes += len(data)
        if self._answer_bytes > MAX_ANSWER_BYTES:
            self._break_off(TOO_LONG)
        self._hold.add(len(data))
        if self._is_broken_off:
            return
        self._has_stray = self._has_stray or (bool(data) and self._is_answered())
        super().data_received(data)
        if not self._has_head or self._payload is None:
            return
        if self._payload.is_eof():
            self._hold.settle()
        elif self._is_framing_too_long(self._payload.total_bytes):
            self._break_off(FRAMING)

    def _is_answered(self) -> bool:
        return self._has_head and self._payload is not None and self._payload.is_eof()

    def _is_framing_too_long(self, body_bytes: int) -> bool:
        framing_bytes = self._answer_bytes - self._head_bytes - body_bytes
        return framing_bytes > MAX_FRAMING_BYTES + body_bytes

    def _give_up(self) -> None:
        self._break_off(NO_ROOM)

    def _break_off(self, reason: str) -> None:
        if self._is_broken_off:
            return
        self._is_broken_off = True
        self._budget.note_broken_off(reason, self.address, self._answer_bytes)
        self.abort_answer(ClientPayloadError(f'the answer was broken off: {reason}'))

    def is_connected(self) -> bool:
        """Returns whether a request may be sent on this connection.

        Bytes that came after a whole answer belong to no request: they would be read as the
        answer to the next one.
        """
        idle_s = self._loop.time() - self._received_at
        stray = self._has_stray or bool(self._tail or self._buffer)
        fresh = idle_s < self._limits.limit_s(self.address)
        return super().is_connected() and not stray and fresh

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the count of the present answer.

        :param exc: why the connection ended; None after an orderly end.
        """
        if self._is_hold_taken:
            self._hold.settle()
        else:
            self._hold.end()
        super().connection_lost(exc)


def _announced(message: RawResponseMessage) -> int:
    """Returns the length that the head of an answer names, in bytes."""
    length = message.headers.get('Content-Length', '')
    return int(length[:_MAX_DIGITS]) if length.isdecimal() else 0


def _holds_status_line(message: RawResponseMessage) -> bool:
    """Returns whether the head of an answer was read from those of two."""
    values = (value for _, value in message.raw_headers)
    reason = message.reason.encode('utf-8', 'surrogateescape')
    return any(map(_STATUS_LINE.search, (reason, *values)))
