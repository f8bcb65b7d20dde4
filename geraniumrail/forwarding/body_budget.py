"""The bytes of callers' bodies that a process keeps."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

from geraniumrail.core.byte_budget import ByteBudget, Hold
from geraniumrail.errors.request import NotRunError

# Bodies that arrive are here, or given up, within some seconds.
RETRY_S = 0.5
# One source may hold seven eighths of the budget, a second one seven eighths of the rest.
SHARE_OF_FREE = 7


class ArrivingBody:
    """One body: counted while it arrives, and until its request has ended."""

    def __init__(self, budget: 'BodyBudget', source: str) -> None:
        """Use `BodyBudget.request`.

        :param budget: of all bodies.
        :param source: address of the caller.
        """
        self.hold = budget.hold(source, self._give_up)
        self._is_refused = False
        self._limit = asyncio.timeout(None)

    @contextlib.asynccontextmanager
    async def reading(self, limit_s: float) -> AsyncIterator[Hold]:
        """Limits the reading, in time and by what the other bodies leave.

        :param limit_s: limit in seconds.
        :raises NotRunError: if there is no room for the body.
        :raises TimeoutError: if it does not arrive in time.
        """
        self._limit = asyncio.timeout(limit_s)
        try:
            async with self._limit:
                yield self.hold
        except TimeoutError:
            if self._is_refused:
                raise NotRunError(reason='no room for its body', retry_after_s=RETRY_S) from None
            raise
        finally:
            self.hold.settle()  # it can't be given up any more

    def _give_up(self) -> None:
        if not self._limit.expired():
            self._is_refused = True
            self._limit.reschedule(asyncio.get_running_loop().time())


class BodyBudget(ByteBudget):
    """A budget of bodies, by address of the caller.

    Load pattern: one source holds all it can, in requests that run for long.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Starts empty.

        :param limit_bytes: of all bodies together.
        """
        super().__init__(limit_bytes, SHARE_OF_FREE)

    @contextlib.contextmanager
    def request(self, source: str) -> Iterator[ArrivingBody]:
        """Counts the body of a request until it has ended.

        :param source: address of the caller.
        """
        body = ArrivingBody(self, source)
        try:
            yield body
        finally:
            body.hold.end()
