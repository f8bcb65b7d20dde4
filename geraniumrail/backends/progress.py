"""Limits the time without progress on a stream."""

import asyncio
import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Phase:
    """A part of a stream with its own limit."""

    name: str
    limit_s: float


class Progress:
    """One timer for a stream, because setting one for each chunk costs more than the chunk.

    The time that the consumer of the chunks takes does not count.
    """

    def __init__(
        self,
        first: Phase,
        following: Phase,
        *,
        spent_s: float,
        stall: Callable[[Phase], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Starts the first phase.

        :param first: until the first token.
        :param following: from token to token.
        :param spent_s: how much of the first phase has passed, in seconds.
        :param stall: called once, when the limit of a phase has passed.
        :param loop: gives the time and the timer.
        """
        self._loop = loop
        self._phase = first
        self._following: Phase | None = following
        self._stall = stall
        self._since = self._loop.time() - spent_s
        self._paused = False
        self._timer = self._loop.call_at(self._since + self._phase.limit_s, self._check)

    def pause(self) -> None:
        """Stops counting while the consumer works on a chunk."""
        self._paused = True

    def resume(self, *, progressed: bool) -> None:
        """Counts on.

        :param progressed: the chunk had a token: count from now on.
        """
        self._paused = False
        if progressed:
            self._since = self._loop.time()
            if self._following is not None:
                self._start_following()

    def stop(self) -> None:
        """Ends the watch."""
        self._timer.cancel()

    def _start_following(self) -> None:
        self._phase = self._following or self._phase
        self._following = None
        self._timer.cancel()
        self._timer = self._loop.call_at(self._since + self._phase.limit_s, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        end = self._since + self._phase.limit_s
        if self._paused:
            end = now + self._phase.limit_s
        if end <= now:
            self._stall(self._phase)
            return
        self._timer = self._loop.call_at(end, self._check)
