"""The way back to the caller."""

from typing import Protocol

from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.forwarding.inbound import Headers


class Reply(Protocol):
    """One answer; exactly one of `answer`, `refuse`, `finish` and `abort` ends it."""

    @property
    def started(self) -> bool:
        """Whether an answer has begun, of which a part may be on its way."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        :param body: whole body.
        """

    async def refuse(self, error: GeraniumrailError) -> None:
        """Answers a failure of the system's own.

        :param error: the failure.
        """

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a stream.

        :param status: HTTP status.
        :param headers: end-to-end headers.
        """

    async def write(self, content: bytes) -> None:
        """Sends a part of a stream.

        :param content: whole events.
        """

    async def finish(self) -> None:
        """Ends a stream as complete."""

    def abort(self) -> None:
        """Breaks the connection, so that the caller sees that the answer is not complete."""
