"""Sends operator requests to whichever control member takes them."""

import dataclasses
import random
import ssl
from collections.abc import Sequence

from geraniumrail.commands.attempt import Body, Call, Failure, attempt
from geraniumrail.commands.events import MEMBER_FAILED
from geraniumrail.config.address import split_address
from geraniumrail.core import events
from geraniumrail.core.clock import Clock, SystemClock
from geraniumrail.errors.operator import (
    AnswerRefusedError,
    ControlUnreachableError,
    OperatorOutcomeUnknownError,
)

_NO_GROUP = 'no_group'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Patience:
    """Time limits in seconds; the delay after each round over the members doubles."""

    # A change of settings is answered when it is in force, which takes up to 7 s.
    attempt_s: float = 10
    # Covers two silent members, an election of about 4 s and one attempt at the new leader.
    total_s: float = 40
    first_delay_s: float = 0.1
    max_delay_s: float = 2

    def delay_s(self, number: int, rng: random.Random) -> float:
        """Returns the jittered delay after a round.

        :param number: the round, from 0.
        :param rng: source of the jitter.
        """
        delay = min(self.max_delay_s, self.first_delay_s * 2 ** min(number, 16))
        return rng.uniform(delay / 2, delay)


class OperatorClient:
    """A client of the admin API of all control members.

    A request is sent again after any failure that leaves its outcome open, so a body that changes
    state must carry an id by which the members recognise it.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        *,
        tls: ssl.SSLContext | None,
        patience: Patience,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates the client; see `from_addresses`."""
        self._addresses = tuple(addresses)
        self._preferred = ''
        self._key = key
        self._tls = tls
        self._patience = patience
        self._clock = clock
        self._rng = rng

    @classmethod
    def from_addresses(
        cls,
        addresses: Sequence[str],
        key: str,
        *,
        tls: ssl.SSLContext | None = None,
        patience: Patience | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> 'OperatorClient':
        """Creates the client; connections are opened for each request.

        :param addresses: ip:port of the `operators` server of each control member.
        :param key: API key of the operator.
        :param tls: context for https; None for http.
        :param patience: time limits.
        :param clock: source of time for delays and the deadline.
        :param rng: source of jitter.
        :raises ValueError: if there is no address or one is malformed.
        """
        if not addresses:
            raise ValueError('at least one address is needed')
        for address in addresses:
            split_address(address)
        return cls(
            addresses,
            key,
            tls=tls,
            patience=patience or Patience(),
            clock=clock or SystemClock(),
            rng=rng or random.Random(),
        )

    async def request(self, method: str, path: str, body: Body | None = None) -> Body:
        """Sends a request until a member takes or refuses it.

        :param method: HTTP method.
        :param path: path with query.
        :param body: JSON body; carries an id if the request changes state.
        :raises AnswerRefusedError: if it was refused.
        :raises AnswerConflictError: if another change won or the state does not allow it.
        :raises ControlUnreachableError: if no member took it within the deadline.
        :raises OperatorOutcomeUnknownError: if it may have been carried out.
        """
        call = Call(method=method, path=path, body=body, key=self._key, tls=self._tls)
        deadline = self._clock.now() + self._patience.total_s
        failures: list[Failure] = []
        untried = self._round()
        may_have_run = False
        while (left_s := deadline - self._clock.now()) > 0:
            timeout_s = min(self._patience.attempt_s, left_s)
            address = untried.pop(0)
            answer = await attempt(call, address, timeout_s, is_repeated=may_have_run)
            if not isinstance(answer, Failure):
                self._preferred = address
                return answer
            failures.append(answer)
            may_have_run = may_have_run or (answer.may_have_run and call.changes_state)
            _log(answer, address, len(failures))
            # A stale hint must not keep the other members from their turn.
            untried.sort(key=answer.leader.__ne__)
            if not untried:
                await self._pause(failures)
                untried = self._round()
        reason = failures[-1].reason
        if may_have_run:
            raise OperatorOutcomeUnknownError(reason=reason)
        raise ControlUnreachableError(deadline_s=self._patience.total_s, reason=reason)

    def _round(self) -> list[str]:
        """Lists all members; the one that took the last request comes first."""
        return sorted(self._addresses, key=self._preferred.__ne__)

    async def _pause(self, failures: list[Failure]) -> None:
        """Waits after a round over the members."""
        latest = failures[-len(self._addresses) :]
        if all(failure.error_type == _NO_GROUP for failure in latest):
            # Only an operator can change this.
            raise AnswerRefusedError(type=_NO_GROUP, message=latest[0].reason)
        number = len(failures) // len(self._addresses) - 1
        await self._clock.sleep(self._patience.delay_s(number, self._rng))


def _log(failure: Failure, address: str, number: int) -> None:
    events.log(
        MEMBER_FAILED,
        address=address,
        attempt=number,
        may_have_run=failure.may_have_run,
        reason=failure.reason,
    )
