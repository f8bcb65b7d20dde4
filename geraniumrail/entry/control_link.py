"""Calls the control leader, wherever it is; commands are safe to resend."""

import random
from typing import Any

from geraniumrail.core import codec
from geraniumrail.core.clock import Clock
from geraniumrail.core.refused import Refused
from geraniumrail.entry.leader_finder import LeaderFinder
from geraniumrail.errors.base import GeraniumrailError
from geraniumrail.errors.consensus import ConsensusError, NotLeaderError
from geraniumrail.errors.link import LinkError, NoControlError
from geraniumrail.links.messages import AwaitBooking, BookingNow, Propose
from geraniumrail.links.pool import LinkPool

CALL_TIMEOUT_S = 1.5  # longer than an append round trip; a silent connection is replaced after it
RETRY_DELAY_S = 0.1
LEAST_TIMEOUT_S = 0.05


class ControlLink:
    """Finds the leader and repeats calls that got no answer."""

    def __init__(
        self,
        finder: LeaderFinder,
        links: LinkPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Connects the parts.

        :param finder: address of the leader.
        :param links: connections.
        :param clock: time.
        :param rng: source of jitter.
        """
        self._finder = finder
        self._links = links
        self._clock = clock
        self._rng = rng

    async def propose(self, command: object, limit_s: float) -> Any:
        """Puts a command through the log and returns its result.

        :param command: a record of `state.commands`; must be safe to resend.
        :param limit_s: limit in seconds.
        :raises NoControlError: without an answer in time; the command may have been applied.
        :raises GeraniumrailError: if the state machine refused it.
        """
        reply = await self._repeat(Propose(command=codec.encode(command)), CALL_TIMEOUT_S, limit_s)
        answer = codec.decode(reply.result)
        if isinstance(answer, Refused):
            raise answer.to_error()
        return answer

    async def ask(self, request: object, limit_s: float) -> Any:
        """Sends a request that is safe to repeat and returns the leader's answer.

        :param request: the record.
        :param limit_s: limit in seconds.
        :raises NoControlError: without an answer in time.
        :raises GeraniumrailError: if the leader refused it.
        """
        return await self._repeat(request, CALL_TIMEOUT_S, limit_s)

    async def await_booking(self, request: AwaitBooking, limit_s: float) -> BookingNow:
        """Waits until a booking is final or the request's own limit has passed.

        :param request: key and limit of one call.
        :param limit_s: limit in seconds over all calls.
        :raises NoControlError: without an answer in time.
        """
        return await self._repeat(request, request.limit_s + CALL_TIMEOUT_S, limit_s)

    async def _repeat(self, request: object, timeout_s: float, limit_s: float) -> Any:
        end = self._clock.now() + limit_s
        failure: GeraniumrailError | None = None
        while True:
            address = self._finder.address
            remaining_s = end - self._clock.now()
            if remaining_s <= 0 and failure is not None:
                # Its caller may have repeated it elsewhere by now, and have changed its mind since.
                raise NoControlError(limit_s=limit_s, reason=str(failure)) from failure
            remaining_s = max(LEAST_TIMEOUT_S, remaining_s)
            try:
                return await self._links.call(address, request, min(timeout_s, remaining_s))
            except NotLeaderError as error:
                self._finder.hint(error.fields.get('leader'))
                failure = error
            except (LinkError, ConsensusError) as error:
                self._finder.skip(address)
                failure = error
            await self._clock.sleep(RETRY_DELAY_S * (0.5 + self._rng.random()))
